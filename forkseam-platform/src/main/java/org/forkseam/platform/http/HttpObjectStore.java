package org.forkseam.platform.http;

import io.activej.http.HttpMethod;

import org.forkseam.platform.ObjectStore;
import org.forkseam.platform.PlatformException;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Object store client for the path-style S3 protocol: PUT, GET and DELETE of {@code /bucket/key}.
 * Confined to the client's event loop.
 *
 * @since 0.1
 */
public final class HttpObjectStore implements ObjectStore {
    private static final String SERVICE = "object store";
    private static final int NOT_FOUND = 404;
    private static final int MULTIPLE_CHOICES = 300;

    private final PlatformHttpClient mHttp;
    private final String mBucketUrl;

    private HttpObjectStore(PlatformHttpClient http, String bucketUrl) {
        mHttp = http;
        mBucketUrl = bucketUrl;
    }

    /** Creates a client of the bucket at a URL. */
    public static HttpObjectStore of(PlatformHttpClient http, String bucketUrl) {
        return new HttpObjectStore(http, bucketUrl);
    }

    @Override
    public CompletableFuture<Void> put(String key, byte[] data) {
        return mHttp.send(SERVICE, HttpMethod.PUT, url(key), data).thenCompose(a -> check(a));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String key) {
        return mHttp.send(SERVICE, HttpMethod.GET, url(key), null)
                .thenCompose(
                        a ->
                                a.status() == NOT_FOUND
                                        ? CompletableFuture.completedFuture(Optional.empty())
                                        : check(a).thenApply(v -> Optional.of(a.body())));
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return mHttp.send(SERVICE, HttpMethod.DELETE, url(key), null)
                .thenCompose(
                        a ->
                                a.status() == NOT_FOUND
                                        ? CompletableFuture.completedFuture(null)
                                        : check(a));
    }

    private static CompletableFuture<Void> check(PlatformHttpClient.Response a) {
        return a.status() < MULTIPLE_CHOICES
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.failedFuture(
                        new PlatformException(SERVICE, "status " + a.status()));
    }

    private String url(String key) {
        return mBucketUrl + "/" + key;
    }
}
