package org.cornelchute.policy.rules;

import java.util.Map;

/** A rule; each implementation corresponds to one keyword of the rules file. */
public sealed interface Rule {

  /**
   * Places a version of a model.
   *
   * @param model name of the model; aliases are resolved in the result of {@link Rules#places}
   * @param version label of the version at the origin
   * @param replicas number of replicas by failure domain, in the order of the line
   * @param unavailable maximum number of replicas that a rollout may make unavailable at a time
   */
  record Place(String model, String version, Map<String, Integer> replicas, int unavailable)
      implements Rule {}

  /** Defines {@code alias} as another name for a model, a service or a failure domain. */
  record Alias(String alias, String name) implements Rule {}

  /** Sets the weight of a workspace when workspaces compete for capacity. */
  record Weight(String workspace, int weight) implements Rule {}

  /** Limits the request rate of a workspace, summed over all entries. */
  record Limit(String workspace, double perSecond, double burst) implements Rule {}

  /** Sets the priority of a workspace's requests to a service; higher values are run first. */
  record Priority(String workspace, String service, int priority) implements Rule {}

  /** Takes a failure domain out of service. */
  record DomainOut(String domain) implements Rule {}

  /** Marks calls to a plain service that must not be run more than once. */
  record NoRepeat(String service, String method, String pathPrefix) implements Rule {}

  /** Marks calls to a plain service that may be run more than once, whatever their method is. */
  record Repeat(String service, String method, String pathPrefix) implements Rule {}

  /** Maps an API key to a workspace; the key itself is not stored, only its SHA-256. */
  record Key(String workspace, String sha256) implements Rule {}
}
