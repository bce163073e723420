package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

import java.util.function.BooleanSupplier;

/** Encodes the responses to a caller. Used on the event loop. */
final class ResponseEncoder extends HttpResponseEncoder {
    private final BooleanSupplier mBodiless;

    /**
     * Creates an encoder.
     *
     * @param bodiless tells whether the current response has no body by the method of its request
     */
    ResponseEncoder(BooleanSupplier bodiless) {
        mBodiless = bodiless;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse r) {
        return mBodiless.getAsBoolean() || super.isContentAlwaysEmpty(r);
    }
}
