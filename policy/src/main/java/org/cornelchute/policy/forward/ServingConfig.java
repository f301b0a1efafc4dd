package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration: routes, services and keys; immutable.
 *
 * <p>The routes of a host are sorted by descending length of their prefix, so that the first match
 * is the longest.
 */
public final class ServingConfig {

  /** Configuration of a process that has not received one yet. */
  public static final ServingConfig EMPTY =
      new ServingConfig(0, List.of(), List.of(), false, Map.of(), CallerLimits.DEFAULTS);

  private final long version;
  private final Map<String, List<RouteSpec>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final boolean requiresKeys;
  private final Map<String, WorkspaceSpec> workspaceByKey;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version version number, which increases with every change
   * @param routes all routes
   * @param services all services
   * @param requiresKeys whether callers need keys, except on anonymous routes
   * @param workspaceByKey workspaces by API key
   * @param limits limits on requests and connections of callers
   */
  public ServingConfig(
      long version,
      List<RouteSpec> routes,
      List<ServiceSpec> services,
      boolean requiresKeys,
      Map<String, WorkspaceSpec> workspaceByKey,
      CallerLimits limits) {
    this.version = version;
    this.requiresKeys = requiresKeys;
    this.workspaceByKey = Map.copyOf(workspaceByKey);
    this.limits = limits;
    for (ServiceSpec s : services) {
      this.services.put(s.name(), s);
    }
    routes.stream()
        .sorted(Comparator.comparingInt((RouteSpec r) -> -r.pathPrefix().length()))
        .forEach(r -> routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
  }

  /** Returns the version; 0 if no configuration has been received. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests and connections of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns whether callers need keys, except on anonymous routes. */
  public boolean requiresKeys() {
    return requiresKeys;
  }

  /** Returns all routes, in no particular order. */
  public List<RouteSpec> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Finds the route with the longest matching prefix. */
  public Optional<RouteSpec> findRoute(String host, String path) {
    for (RouteSpec r : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(r.pathPrefix())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }

  /** Finds the workspace that a key belongs to. */
  public Optional<WorkspaceSpec> findWorkspace(String key) {
    return Optional.ofNullable(workspaceByKey.get(key));
  }

  /** Finds a workspace by name. */
  public Optional<WorkspaceSpec> findWorkspaceByName(String name) {
    return workspaceByKey.values().stream().filter(w -> w.name().equals(name)).findAny();
  }

  /** Finds a service by name. */
  public Optional<ServiceSpec> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Limits on requests and connections of callers.
   *
   * @param maxHeaderBytes maximum size of a request head
   * @param maxBodyBytes maximum size of a request body
   * @param headerTimeoutMillis maximum time from the first to the last byte of a request head
   * @param idleTimeoutMillis maximum time without a request on a persistent connection
   */
  public record CallerLimits(
      int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits that apply unless the configuration sets others. */
    public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
  }
}
