package org.forkseam.platform.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResourceRecord;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.promise.Promise;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** DNS client that accepts IP address literals only and never queries a server. Thread-safe. */
public final class IpLiteralDnsClient implements IDnsClient {
    private static final Pattern IP_LITERAL = Pattern.compile("[0-9.]+|[0-9a-fA-F:]+");
    private static final int TTL_SECONDS = 3600;

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
        String name = query.getDomainName();
        if (!IP_LITERAL.matcher(name).matches()) {
            return Promise.ofException(
                    new UnknownHostException(name + ": only IP address literals are allowed"));
        }
        try {
            InetAddress[] addresses = InetAddress.getAllByName(name);
            return Promise.of(
                    DnsResponse.of(
                            DnsTransaction.of((short) 0, query),
                            DnsResourceRecord.of(addresses, TTL_SECONDS)));
        } catch (UnknownHostException e) {
            return Promise.ofException(e);
        }
    }

    @Override
    public void close() {}
}
