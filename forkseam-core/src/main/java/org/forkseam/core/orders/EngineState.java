package org.forkseam.core.orders;

/**
 * Actual or desired state of an engine. An empty component is unknown or not specified.
 *
 * @param model the model
 * @param adapter the adapter
 * @param version version of model and adapter
 * @param role the engine's role, such as {@code prefill}, {@code decode} or {@code both}
 */
public record EngineState(String model, String adapter, String version, String role) {
    /** Returns whether the observed state satisfies this desired state. */
    public boolean isSatisfiedBy(EngineState observed) {
        return matches(model, observed.model)
                && matches(adapter, observed.adapter)
                && matches(version, observed.version)
                && matches(role, observed.role);
    }

    private static boolean matches(String desired, String observed) {
        return desired.isEmpty() || desired.equals(observed);
    }

    /** Returns the name of the required weights in the weight store. */
    public String weights() {
        String versionOrLatest = version.isEmpty() ? "latest" : version;
        return adapter.isEmpty()
                ? model + "-" + versionOrLatest
                : model + "-" + adapter + "-" + versionOrLatest;
    }
}
