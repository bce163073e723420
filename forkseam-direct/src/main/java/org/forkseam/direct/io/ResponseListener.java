package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of one exchange. Called on the event loop; nothing follows {@link
 * #onComplete} or {@link #onExchangeFailed}.
 */
public interface ResponseListener {
    /** Called with the response head. */
    void onHead(HttpResponse head);

    /** Called with a part of the body; the buffer is only valid during the call. */
    void onBody(ByteBuf bytes);

    /** Called after all available bytes were delivered; more may follow. */
    default void onReadComplete() {}

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the exchange ends without a complete response. */
    void onExchangeFailed(ExchangeFailure failure, String detail);
}
