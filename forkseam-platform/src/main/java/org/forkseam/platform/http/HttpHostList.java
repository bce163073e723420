package org.forkseam.platform.http;

import com.fasterxml.jackson.databind.JsonNode;

import org.forkseam.core.label.Labels;
import org.forkseam.core.member.HostEntry;
import org.forkseam.platform.HostList;
import org.forkseam.platform.PlatformException;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the host list in the format of Prometheus HTTP service discovery: groups of {@code targets}
 * with {@code labels}, where {@code host} is the host name and {@code state=leaving} marks a
 * leaving host. Uses ETags to skip the transfer of an unchanged list. Confined to the client's
 * event loop.
 *
 * @since 0.1
 */
public final class HttpHostList implements HostList {
    private static final String SERVICE = "host list";
    private static final String HOST = "host";
    private static final String STATE = "state";
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final PlatformHttpClient mHttp;
    private final String mUrl;
    private String mEtag = "";
    private List<HostEntry> mLastEntries = List.of();

    private HttpHostList(PlatformHttpClient http, String url) {
        mHttp = http;
        mUrl = url;
    }

    /** Creates a client of the list at a URL. */
    public static HttpHostList of(PlatformHttpClient http, String url) {
        return new HttpHostList(http, url);
    }

    @Override
    public CompletableFuture<List<HostEntry>> read() {
        return mHttp.getIfChanged(SERVICE, mUrl, mEtag).thenCompose(this::parse);
    }

    private CompletableFuture<List<HostEntry>> parse(PlatformHttpClient.Response a) {
        if (a.status() == NOT_MODIFIED) {
            return CompletableFuture.completedFuture(mLastEntries);
        }
        if (a.status() != OK) {
            return CompletableFuture.failedFuture(
                    new PlatformException(SERVICE, "status " + a.status()));
        }
        try {
            mLastEntries = entries(PlatformHttpClient.JSON.readTree(a.body()));
            mEtag = a.etag();
            return CompletableFuture.completedFuture(mLastEntries);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(new PlatformException(SERVICE, e));
        }
    }

    private static List<HostEntry> entries(JsonNode list) {
        List<HostEntry> out = new ArrayList<>();
        for (JsonNode group : list) {
            Map<String, String> labels = new TreeMap<>();
            group.path("labels")
                    .fields()
                    .forEachRemaining(e -> labels.put(e.getKey(), e.getValue().asText()));
            String host = labels.remove(HOST);
            boolean leaving = "leaving".equals(labels.remove(STATE));
            String address = group.path("targets").path(0).asText();
            if (host != null && !address.isEmpty()) {
                out.add(new HostEntry(host, address, leaving, Labels.of(labels)));
            }
        }
        return out;
    }
}
