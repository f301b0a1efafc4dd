package org.cornelchute.policy.forward;

import java.util.List;

/**
 * A workspace whose callers carry keys.
 *
 * @param name name that endpoints are told
 * @param priority rank that goes before the route's, negative if it has none
 * @param regions regions whose endpoints may serve it; empty for all
 */
public record WorkspaceSpec(String name, int priority, List<String> regions) {}
