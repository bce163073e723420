package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Takes the answer to one request. Used on the event loop. */
interface ResponseSink {
    /** Sends a whole answer. */
    void respond(FullHttpResponse response);

    /** Begins an answer whose body follows in parts. */
    void writeHead(HttpResponse head);

    /** Sends a part of the body; the buffer is the sink's from then on. */
    void writeBody(ByteBuf bytes);

    /** Ends the body: the answer is whole. */
    void complete();

    /** Closes the connection within the body, so that the answer cannot look whole. */
    void abort();

    /** Returns whether the caller is there: a close may be known before anybody is told of it. */
    boolean isOpen();

    /** Returns whether the caller takes more bytes at the moment. */
    boolean isWritable();
}
