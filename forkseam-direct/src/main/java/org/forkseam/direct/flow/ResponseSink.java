package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Destination of the response to one request. Used on the event loop. */
interface ResponseSink {
    /** Sends a complete response. */
    void respond(FullHttpResponse response);

    /** Starts a response whose body follows through {@link #writeBody}. */
    void writeHead(HttpResponse head);

    /** Sends a part of the body and takes ownership of the buffer. */
    void writeBody(ByteBuf bytes);

    /** Completes the response. */
    void complete();

    /**
     * Closes the connection in the middle of the body, so that the caller can detect the
     * truncation.
     */
    void abort();

    /**
     * Returns whether the connection is open. May report a close before the corresponding event is
     * delivered.
     */
    boolean isOpen();

    /** Returns whether the connection currently accepts more bytes. */
    boolean isWritable();
}
