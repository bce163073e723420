package org.forkseam.platform.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.direct.io.Addresses;

import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An {@code http} URL of a server by its IP address.
 *
 * @param address IP:PORT
 * @param path the path with the query, empty if the URL has none
 */
public record HttpUrl(String address, String path) {
    private static final Pattern URL = Pattern.compile("http://([0-9.]+)(:[0-9]+)?([/?].*)?");
    private static final String DEFAULT_PORT = ":80";
    private static final Set<HttpMethod> METHODS_WITHOUT_BODY =
            Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS);

    /**
     * Parses a URL.
     *
     * @throws IllegalArgumentException if the text is not of this form
     */
    public static HttpUrl parse(String text) {
        Matcher m = URL.matcher(text);
        if (!m.matches()) {
            throw new IllegalArgumentException("URL " + text + "; allowed: http://IP:PORT/PATH");
        }
        String address = m.group(1) + (m.group(2) == null ? DEFAULT_PORT : m.group(2));
        Addresses.parse(address);
        return new HttpUrl(address, m.group(3) == null ? "" : m.group(3));
    }

    /**
     * Builds a request for a path below this URL.
     *
     * @throws IllegalArgumentException if the path holds characters that none may hold
     */
    public FullHttpRequest request(HttpMethod method, String below, byte[] body) {
        String uri = path + below;
        FullHttpRequest r =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        uri.startsWith("/") ? uri : "/" + uri,
                        Unpooled.wrappedBuffer(body));
        r.headers().set(HttpHeaderNames.HOST, address);
        if (body.length > 0 || !METHODS_WITHOUT_BODY.contains(method)) {
            r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return r;
    }
}
