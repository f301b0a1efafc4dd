package org.cornelchute.policy.forward;

import java.util.List;

/**
 * A workspace whose callers authenticate with keys.
 *
 * @param name name that is sent to endpoints
 * @param priority rank that overrides the priority of the route, negative if not set
 * @param regions regions whose endpoints may serve the workspace; empty for all
 */
public record WorkspaceSpec(String name, int priority, List<String> regions) {}
