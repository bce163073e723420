package org.forkseam.core.orders;

/**
 * Says what an engine runs, or should run. An empty part means that nothing is asked for, or that
 * the engine does not say.
 *
 * @param model the model
 * @param adapter the adapter
 * @param version the version of both
 * @param role what the engine does, such as {@code prefill}, {@code decode} or {@code both}
 */
public record EngineState(String model, String adapter, String version, String role) {
    /** Returns whether an engine in the state given meets this wish. */
    public boolean isMetBy(EngineState observed) {
        return meets(model, observed.model)
                && meets(adapter, observed.adapter)
                && meets(version, observed.version)
                && meets(role, observed.role);
    }

    private static boolean meets(String wish, String is) {
        return wish.isEmpty() || wish.equals(is);
    }

    /** Returns the name under which the weight store keeps what this state needs. */
    public String weights() {
        String v = version.isEmpty() ? "latest" : version;
        return adapter.isEmpty() ? model + "-" + v : model + "-" + adapter + "-" + v;
    }
}
