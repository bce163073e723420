package org.forkseam.platform.http;

import io.activej.http.HttpMethod;

import org.forkseam.platform.PlatformException;
import org.forkseam.platform.WeightStore;

import java.util.concurrent.CompletableFuture;

/**
 * Weight store client over HTTP: status 200 grants a download, 429 with {@code Retry-After} defers
 * it, 404 means unknown weights. Confined to the client's event loop.
 *
 * @since 0.1
 */
public final class HttpWeightStore implements WeightStore {
    private static final String SERVICE = "weight store";

    private final PlatformHttpClient mHttp;
    private final String mUrl;

    private HttpWeightStore(PlatformHttpClient http, String url) {
        mHttp = http;
        mUrl = url;
    }

    /** Creates a client of the store at a base URL. */
    public static HttpWeightStore of(PlatformHttpClient http, String url) {
        return new HttpWeightStore(http, url);
    }

    @Override
    public CompletableFuture<Permit> requestPermit(String weights) {
        return mHttp.send(SERVICE, HttpMethod.POST, mUrl + "/" + weights, new byte[0])
                .thenCompose(HttpWeightStore::permit);
    }

    private static CompletableFuture<Permit> permit(PlatformHttpClient.Response a) {
        return switch (a.status()) {
            case 200 -> CompletableFuture.completedFuture(new Permit.Granted());
            case 404 -> CompletableFuture.completedFuture(new Permit.NotFound());
            case 429 ->
                    CompletableFuture.completedFuture(new Permit.RateLimited(a.retryAfterMillis()));
            default ->
                    CompletableFuture.failedFuture(
                            new PlatformException(SERVICE, "status " + a.status()));
        };
    }
}
