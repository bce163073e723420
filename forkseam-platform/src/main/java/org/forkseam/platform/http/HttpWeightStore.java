package org.forkseam.platform.http;

import io.activej.http.HttpMethod;

import org.forkseam.platform.PlatformException;
import org.forkseam.platform.WeightStore;

import java.util.concurrent.CompletableFuture;

/**
 * Asks the weight store by plain HTTP: 200 lets a download start, 429 with Retry-After does not.
 *
 * @since 0.1
 */
public final class HttpWeightStore implements WeightStore {
    private static final String SERVICE = "weight store";

    private final Http mHttp;
    private final String mUrl;

    private HttpWeightStore(Http http, String url) {
        mHttp = http;
        mUrl = url;
    }

    /** Creates a client of the store at a base URL. */
    public static HttpWeightStore of(Http http, String url) {
        return new HttpWeightStore(http, url);
    }

    @Override
    public CompletableFuture<Permit> ask(String weights) {
        return mHttp.send(SERVICE, HttpMethod.POST, mUrl + "/" + weights, new byte[0])
                .thenCompose(HttpWeightStore::permit);
    }

    private static CompletableFuture<Permit> permit(Http.Answer a) {
        return switch (a.status()) {
            case 200 -> CompletableFuture.completedFuture(new Permit.Granted());
            case 404 -> CompletableFuture.completedFuture(new Permit.Absent());
            case 429 -> CompletableFuture.completedFuture(new Permit.Later(a.retryAfterMillis()));
            default ->
                    CompletableFuture.failedFuture(
                            new PlatformException(SERVICE, "status " + a.status()));
        };
    }
}
