package org.cornelchute.policy.rules;

import java.util.Map;

/** One line of a rules file. Names are resolved to {@code fleet/name} where a fleet applies. */
public sealed interface Rule {

  /**
   * Places a version of a model.
   *
   * @param model resolved name
   * @param version label of the version at the origin
   * @param replicas wanted replicas by failure domain, in the order of the line
   * @param unavailable how many replicas a rollout may take away at once
   */
  record Place(String model, String version, Map<String, Integer> replicas, int unavailable)
      implements Rule {}

  /** Lets {@code alias} stand for {@code name}, for models, services and failure domains. */
  record Alias(String alias, String name) implements Rule {}

  /** Gives a workspace a weight. */
  record Weight(String workspace, int weight) implements Rule {}

  /** Limits a workspace's request rate over all entries. */
  record Limit(String workspace, double perSecond, double burst) implements Rule {}

  /** Orders a kind of request inside its workspace; higher goes first. */
  record Priority(String workspace, String service, int priority) implements Rule {}

  /** Takes a failure domain out of service. */
  record DomainOut(String domain) implements Rule {}

  /** Marks calls of a plain service that may not be repeated. */
  record NoRepeat(String service, String method, String pathPrefix) implements Rule {}

  /** Marks calls of a plain service that may be repeated although their method is not safe. */
  record Repeat(String service, String method, String pathPrefix) implements Rule {}

  /** Lets the bearer of a key act for a workspace; only the key's SHA-256 is kept. */
  record Key(String workspace, String sha256) implements Rule {}
}
