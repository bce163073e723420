package org.forkseam.daemon.cfg;

import java.util.Set;

/**
 * All settings of a daemon, with their types and defaults.
 *
 * @since 0.1
 */
public enum SettingKey {
    /** Role of this daemon. */
    ROLE("daemon", "role", SettingType.oneOf("router", "sidecar"), null, Roles.BOTH),
    /** Name of the host. */
    HOST("daemon", "host", SettingType.name(), null, Roles.BOTH),
    /** Failure domain of the host. */
    FAILURE_DOMAIN("daemon", "failure-domain", SettingType.name(), null, Roles.BOTH),
    /** Maximum time that a graceful shutdown waits for requests in flight. */
    DRAIN_TIMEOUT_MILLIS(
            "daemon", "stop-ms", SettingType.integer(0, 3_600_000), "60000", Roles.BOTH),
    /** Address on which callers are served. */
    CALLERS_LISTEN("callers", "listen", SettingType.address(), null, Roles.ROUTER),
    /** Maximum size of a request body. */
    MAX_BODY_BYTES(
            "callers",
            "max-body-bytes",
            SettingType.integer(1024, 7 << 20),
            "4194304",
            Roles.ROUTER),
    /** Time limit for receiving a complete request. */
    REQUEST_TIMEOUT_MILLIS(
            "callers", "request-ms", SettingType.integer(100, 600_000), "10000", Roles.ROUTER),
    /** Key that signs chat tickets; must be the same on all routers. */
    TICKET_KEY("callers", "ticket-key", SettingType.secret(), null, Roles.ROUTER),
    /** Placement algorithm; all but {@code std} are meant for benchmarks. */
    PLACEMENT(
            "callers",
            "placement",
            SettingType.oneOf("std", "random", "round-robin", "two-choices", "consistent-hash"),
            "std",
            Roles.ROUTER),
    /** Address on which other daemons are served. */
    WIRE_LISTEN("wire", "listen", SettingType.address(), null, Roles.BOTH),
    /** Shared key with which daemons authenticate to each other. */
    WIRE_KEY("wire", "key", SettingType.secret(), null, Roles.BOTH),
    /** PEM file of this daemon's certificate chain; enables TLS if set. */
    TLS_CERTIFICATE("wire", "tls-certificate", SettingType.text(), "", Roles.BOTH),
    /** PEM file of this daemon's private key. */
    TLS_KEY("wire", "tls-key", SettingType.text(), "", Roles.BOTH),
    /** PEM file of the trusted CA certificates. */
    TLS_AUTHORITY("wire", "tls-authority", SettingType.text(), "", Roles.BOTH),
    /** Address of the admin API. */
    OPERATORS_LISTEN("operators", "listen", SettingType.address(), null, Roles.BOTH),
    /** Bearer key of the admin API. */
    OPERATORS_KEY("operators", "key", SettingType.secret(), null, Roles.BOTH),
    /** Base URL of the table service. */
    TABLE_SERVICE("platform", "table-service", SettingType.url(), null, Roles.BOTH),
    /** URL of a bucket in the object store. */
    OBJECT_STORE("platform", "object-store", SettingType.url(), null, Roles.BOTH),
    /** URL of the host list. */
    HOST_LIST("platform", "host-list", SettingType.url(), null, Roles.BOTH),
    /** URL of the weight store; empty if downloads need no permission. */
    WEIGHT_STORE("platform", "weight-store", SettingType.text(), "", Roles.BOTH),
    /** Timeout of a request to the platform. */
    PLATFORM_TIMEOUT_MILLIS(
            "platform", "timeout-ms", SettingType.integer(10, 60_000), "1000", Roles.BOTH),
    /** Interval between reads of the host list. */
    HOST_LIST_INTERVAL_MILLIS(
            "platform", "host-list-ms", SettingType.integer(50, 60_000), "1000", Roles.BOTH),
    /** Minimum interval between reads of the latest configuration version. */
    CONFIG_INTERVAL_MILLIS(
            "platform", "config-ms", SettingType.integer(50, 600_000), "2000", Roles.BOTH),
    /** Name of the target that this daemon serves. */
    TARGET_NAME("target", "name", SettingType.name(), null, Roles.SIDECAR),
    /** Kind of the target. */
    TARGET_KIND("target", "kind", SettingType.oneOf("engine", "service"), null, Roles.SIDECAR),
    /** Base URL of the target. */
    TARGET_URL("target", "url", SettingType.url(), null, Roles.SIDECAR),
    /** Maximum number of concurrent requests at the target. */
    TARGET_CAPACITY("target", "capacity", SettingType.integer(1, 100_000), null, Roles.SIDECAR),
    /** Limit on the bytes of responses retained for replay. */
    RETAINED_RESPONSE_BYTES(
            "target",
            "kept-answer-bytes",
            SettingType.integer(0, 1 << 30),
            "8388608",
            Roles.SIDECAR),
    /** Format of log lines. */
    LOG_FORMAT("logs", "format", SettingType.oneOf("text", "json"), "text", Roles.BOTH);

    private final String mSection;
    private final String mKey;

    @SuppressWarnings("ImmutableEnumChecker") // validators are stateless
    private final SettingType mType;

    private final String mDefaultValue;

    @SuppressWarnings("ImmutableEnumChecker") // created by Set.of
    private final Set<String> mRoles;

    SettingKey(
            String section, String key, SettingType type, String defaultValue, Set<String> roles) {
        mSection = section;
        mKey = key;
        mType = type;
        mDefaultValue = defaultValue;
        mRoles = roles;
    }

    /** Returns the section of the INI file. */
    public String section() {
        return mSection;
    }

    /** Returns the key within the section. */
    public String key() {
        return mKey;
    }

    /** Returns the type of the values. */
    public SettingType type() {
        return mType;
    }

    /** Returns the default, or null if the setting is required. */
    public String defaultValue() {
        return mDefaultValue;
    }

    /** Returns whether the setting applies to a role. */
    public boolean appliesTo(String role) {
        return mRoles.contains(role);
    }

    /** Sets of roles to which a setting applies. */
    private static final class Roles {
        static final Set<String> BOTH = Set.of("router", "sidecar");
        static final Set<String> ROUTER = Set.of("router");
        static final Set<String> SIDECAR = Set.of("sidecar");

        private Roles() {}
    }
}
