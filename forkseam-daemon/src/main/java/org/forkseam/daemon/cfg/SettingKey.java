package org.forkseam.daemon.cfg;

import java.util.Set;

/**
 * Lists every setting of a daemon with its default beside it.
 *
 * @since 0.1
 */
public enum SettingKey {
    /** What this daemon does. */
    ROLE("daemon", "role", SettingType.oneOf("router", "sidecar"), null, Roles.BOTH),
    /** Name of the host. */
    HOST("daemon", "host", SettingType.name(), null, Roles.BOTH),
    /** Failure domain the host is in. */
    FAILURE_DOMAIN("daemon", "failure-domain", SettingType.name(), null, Roles.BOTH),
    /** Time a planned stop waits for requests in flight. */
    STOP_MILLIS("daemon", "stop-ms", SettingType.integer(0, 3_600_000), "60000", Roles.BOTH),
    /** Where callers connect. */
    CALLERS_LISTEN("callers", "listen", SettingType.address(), null, Roles.ROUTER),
    /** Greatest request body. */
    MAX_BODY_BYTES(
            "callers",
            "max-body-bytes",
            SettingType.integer(1024, 7 << 20),
            "4194304",
            Roles.ROUTER),
    /** Time for a caller to send its request whole. */
    REQUEST_MILLIS(
            "callers", "request-ms", SettingType.integer(100, 600_000), "10000", Roles.ROUTER),
    /** Signs chat tickets; the same on all routers. */
    TICKET_KEY("callers", "ticket-key", SettingType.secret(), null, Roles.ROUTER),
    /** How requests are placed; others than std serve measurements. */
    PLACEMENT(
            "callers",
            "placement",
            SettingType.oneOf("std", "random", "round-robin", "two-choices", "consistent-hash"),
            "std",
            Roles.ROUTER),
    /** Where other daemons connect. */
    WIRE_LISTEN("wire", "listen", SettingType.address(), null, Roles.BOTH),
    /** Shared key that daemons prove to each other. */
    WIRE_KEY("wire", "key", SettingType.secret(), null, Roles.BOTH),
    /** PEM file of this daemon's certificate chain; turns TLS on. */
    TLS_CERTIFICATE("wire", "tls-certificate", SettingType.text(), "", Roles.BOTH),
    /** PEM file of its private key. */
    TLS_KEY("wire", "tls-key", SettingType.text(), "", Roles.BOTH),
    /** PEM file of the certificates that peers must be signed by. */
    TLS_AUTHORITY("wire", "tls-authority", SettingType.text(), "", Roles.BOTH),
    /** Where operators connect. */
    OPERATORS_LISTEN("operators", "listen", SettingType.address(), null, Roles.BOTH),
    /** Bearer key of the operators. */
    OPERATORS_KEY("operators", "key", SettingType.secret(), null, Roles.BOTH),
    /** Base URL of the table service. */
    TABLE_SERVICE("platform", "table-service", SettingType.url(), null, Roles.BOTH),
    /** URL of a bucket in the object store. */
    OBJECT_STORE("platform", "object-store", SettingType.url(), null, Roles.BOTH),
    /** URL of the host list. */
    HOST_LIST("platform", "host-list", SettingType.url(), null, Roles.BOTH),
    /** URL of the weight store; empty if downloads need no leave. */
    WEIGHT_STORE("platform", "weight-store", SettingType.text(), "", Roles.BOTH),
    /** Time limit for one request to the platform. */
    PLATFORM_MILLIS("platform", "timeout-ms", SettingType.integer(10, 60_000), "1000", Roles.BOTH),
    /** Time between two reads of the host list. */
    HOST_LIST_MILLIS(
            "platform", "host-list-ms", SettingType.integer(50, 60_000), "1000", Roles.BOTH),
    /** Shortest time between two reads of the configuration's head. */
    CONFIG_MILLIS("platform", "config-ms", SettingType.integer(50, 600_000), "2000", Roles.BOTH),
    /** Name of the target beside this daemon. */
    TARGET_NAME("target", "name", SettingType.name(), null, Roles.SIDECAR),
    /** What kind of target it is. */
    TARGET_KIND("target", "kind", SettingType.oneOf("engine", "service"), null, Roles.SIDECAR),
    /** Base URL of the target. */
    TARGET_URL("target", "url", SettingType.url(), null, Roles.SIDECAR),
    /** Requests the target runs at once. */
    TARGET_CAPACITY("target", "capacity", SettingType.integer(1, 100_000), null, Roles.SIDECAR),
    /** Bytes of answers kept to be sent again. */
    ANSWERS_BYTES(
            "target",
            "kept-answer-bytes",
            SettingType.integer(0, 1 << 30),
            "8388608",
            Roles.SIDECAR),
    /** Form of the log lines. */
    LOG_FORMAT("logs", "format", SettingType.oneOf("text", "json"), "text", Roles.BOTH);

    private final String mSection;
    private final String mKey;

    @SuppressWarnings("ImmutableEnumChecker") // the rules hold no state
    private final SettingType mType;

    private final String mPreset;

    @SuppressWarnings("ImmutableEnumChecker") // made by Set.of
    private final Set<String> mRoles;

    SettingKey(String section, String key, SettingType type, String preset, Set<String> roles) {
        mSection = section;
        mKey = key;
        mType = type;
        mPreset = preset;
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

    /** Returns what values are allowed. */
    public SettingType type() {
        return mType;
    }

    /** Returns the default, or null if the setting must be given. */
    public String preset() {
        return mPreset;
    }

    /** Returns whether a role has this setting. */
    public boolean isOf(String role) {
        return mRoles.contains(role);
    }

    /** Names which roles have a setting. */
    private static final class Roles {
        static final Set<String> BOTH = Set.of("router", "sidecar");
        static final Set<String> ROUTER = Set.of("router");
        static final Set<String> SIDECAR = Set.of("sidecar");

        private Roles() {}
    }
}
