package org.cornelchute.policy.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable set of the rules of one accepted version, indexed for the deciders.
 *
 * <p>Version 0 is the empty set that a process starts with; no operator has applied it.
 */
public final class Rules {

  /** The empty set of rules, version 0. */
  public static final Rules NONE = new Rules(0, List.of());

  /** Weight of a workspace without a {@code weight} rule. */
  public static final int DEFAULT_WEIGHT = 10;

  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE");

  private final long version;
  private final List<RuleLine> lines;
  private final List<Rule.Place> places = new ArrayList<>();
  private final Map<String, String> aliases = new HashMap<>();
  private final Map<String, Integer> weights = new HashMap<>();
  private final Map<String, Rule.Limit> limits = new HashMap<>();
  private final Map<String, Integer> priorities = new HashMap<>();
  private final Map<String, String> workspaceByKey = new HashMap<>();
  private final List<String> domainsOut = new ArrayList<>();
  private final List<Rule.NoRepeat> noRepeat = new ArrayList<>();
  private final List<Rule.Repeat> repeat = new ArrayList<>();

  /** Creates a set of rules; called by {@link RulesParser}. */
  Rules(long version, List<RuleLine> lines) {
    this.version = version;
    this.lines = List.copyOf(lines);
    for (RuleLine line : lines) {
      index(line.rule());
    }
    // A rule may use an alias that is defined in a later line, so names are resolved last.
    domainsOut.replaceAll(this::resolve);
    places.replaceAll(this::resolveNames);
  }

  /** Returns the version, 0 for the empty set. */
  public long version() {
    return version;
  }

  /** Returns all rules in the order of the file. */
  public List<RuleLine> lines() {
    return lines;
  }

  /** Returns the placements in the order of the file, which is their order of precedence. */
  public List<Rule.Place> places() {
    return List.copyOf(places);
  }

  /** Returns the failure domains that are out of service. */
  public Set<String> domainsOut() {
    return Set.copyOf(domainsOut);
  }

  /** Returns whether a failure domain is out of service. */
  public boolean isDomainOut(String domain) {
    return domainsOut.contains(domain);
  }

  /**
   * Resolves a name given by a caller or an operator.
   *
   * @return the name that the alias stands for, or {@code name} itself if it is not an alias
   */
  public String resolve(String name) {
    return aliases.getOrDefault(name, name);
  }

  /**
   * Finds the placement of a model by its full name, an alias or its name without the fleet; empty
   * if a name without the fleet matches more than one model.
   */
  public Optional<Rule.Place> findPlace(String model) {
    String name = resolve(model);
    Rule.Place found = null;
    for (Rule.Place place : places) {
      if (place.model().equals(name)) {
        return Optional.of(place);
      }
      if (FleetNames.withoutFleet(place.model()).equals(name)) {
        if (found != null) {
          return Optional.empty();
        }
        found = place;
      }
    }
    return Optional.ofNullable(found);
  }

  /** Finds the workspace of an API key by the key's SHA-256 in lower-case hex. */
  public Optional<String> findWorkspace(String sha256) {
    return Optional.ofNullable(workspaceByKey.get(sha256));
  }

  /** Returns the weight of a workspace. */
  public int weight(String workspace) {
    return weights.getOrDefault(workspace, DEFAULT_WEIGHT);
  }

  /** Finds the rate limit of a workspace. */
  public Optional<Rule.Limit> findLimit(String workspace) {
    return Optional.ofNullable(limits.get(workspace));
  }

  /** Returns the priority of a workspace's requests to a service, 0 if no rule sets one. */
  public int priority(String workspace, String service) {
    return priorities.getOrDefault(workspace + ' ' + service, 0);
  }

  /**
   * Returns whether a call may be run more than once.
   *
   * <p>This is true for the methods that HTTP defines as idempotent and false for all others,
   * unless a rule matches the call. A {@code norepeat} rule takes precedence over a {@code repeat}
   * rule.
   */
  public boolean isRepeatable(String service, String method, String path) {
    for (Rule.NoRepeat rule : noRepeat) {
      if (matches(rule.service(), rule.method(), rule.pathPrefix(), service, method, path)) {
        return false;
      }
    }
    for (Rule.Repeat rule : repeat) {
      if (matches(rule.service(), rule.method(), rule.pathPrefix(), service, method, path)) {
        return true;
      }
    }
    return IDEMPOTENT_METHODS.contains(method.toUpperCase(Locale.ROOT));
  }

  private Rule.Place resolveNames(Rule.Place place) {
    Map<String, Integer> replicas = new LinkedHashMap<>();
    place
        .replicas()
        .forEach((domain, count) -> replicas.merge(resolve(domain), count, Integer::sum));
    return new Rule.Place(resolve(place.model()), place.version(), replicas, place.unavailable());
  }

  private static boolean matches(
      String ruleService,
      String ruleMethod,
      String pathPrefix,
      String service,
      String method,
      String path) {
    return FleetNames.withoutFleet(ruleService).equals(FleetNames.withoutFleet(service))
        && (ruleMethod.equals("*") || ruleMethod.equalsIgnoreCase(method))
        && path.startsWith(pathPrefix);
  }

  private void index(Rule rule) {
    if (rule instanceof Rule.Place place) {
      places.add(place);
    } else if (rule instanceof Rule.Alias alias) {
      aliases.put(alias.alias(), alias.name());
    } else if (rule instanceof Rule.Weight weight) {
      weights.put(weight.workspace(), weight.weight());
    } else if (rule instanceof Rule.Limit limit) {
      limits.put(limit.workspace(), limit);
    } else if (rule instanceof Rule.Priority priority) {
      priorities.put(priority.workspace() + ' ' + priority.service(), priority.priority());
    } else if (rule instanceof Rule.DomainOut domainOut) {
      domainsOut.add(domainOut.domain());
    } else if (rule instanceof Rule.NoRepeat notRepeatable) {
      noRepeat.add(notRepeatable);
    } else if (rule instanceof Rule.Repeat repeatable) {
      repeat.add(repeatable);
    } else if (rule instanceof Rule.Key key) {
      workspaceByKey.put(key.sha256(), key.workspace());
    }
  }
}
