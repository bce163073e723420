package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears what becomes of one exchange. Called on the event loop; nothing follows an end. */
public interface ResponseListener {
    /** Tells of the answer's head. */
    void onHead(HttpResponse head);

    /** Tells of a part of the body; the bytes are the caller's again when this returns. */
    void onBody(ByteBuf bytes);

    /** Tells that all bytes that have arrived by now were told; more may follow. */
    default void onReadComplete() {}

    /** Tells that the answer is whole. */
    void onComplete();

    /** Tells that no whole answer comes. */
    void onExchangeFailed(ExchangeFailure kind, String detail);
}
