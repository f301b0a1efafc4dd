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
 * One accepted version of the rules, indexed for the deciders; immutable.
 *
 * <p>Version 0 is the empty set that the system starts from; it was never applied by anyone.
 */
public final class Rules {

  /** No rules. */
  public static final Rules NONE = new Rules(0, List.of());

  /** Weight of a workspace that no rule names. */
  public static final int DEFAULT_WEIGHT = 10;

  private static final Set<String> SAFE_METHODS =
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

  /** Indexes parsed lines; use {@link RulesParser} to obtain them. */
  Rules(long version, List<RuleLine> lines) {
    this.version = version;
    this.lines = List.copyOf(lines);
    for (RuleLine l : lines) {
      index(l.rule());
    }
    // Aliases may stand below the rules that use them, so they are resolved last.
    domainsOut.replaceAll(this::resolve);
    places.replaceAll(this::resolveDomains);
  }

  /** Returns the version, 0 for no rules. */
  public long version() {
    return version;
  }

  /** Returns all lines in the order of the file. */
  public List<RuleLine> lines() {
    return lines;
  }

  /** Returns the placements in the order of the file, which is their rank. */
  public List<Rule.Place> places() {
    return List.copyOf(places);
  }

  /** Returns the failure domains out of service. */
  public Set<String> domainsOut() {
    return Set.copyOf(domainsOut);
  }

  /** Returns whether a failure domain is out of service. */
  public boolean isDomainOut(String domain) {
    return domainsOut.contains(domain);
  }

  /**
   * Resolves a name that a caller or an operator wrote.
   *
   * @return the name it stands for; the name itself if there is no alias
   */
  public String resolve(String name) {
    return aliases.getOrDefault(name, name);
  }

  /** Finds the placement of a model by its bare, aliased or full name. */
  public Optional<Rule.Place> findPlace(String model) {
    String name = resolve(model);
    Rule.Place found = null;
    for (Rule.Place p : places) {
      if (p.model().equals(name)) {
        return Optional.of(p);
      }
      if (FleetNames.withoutFleet(p.model()).equals(name)) {
        if (found != null) {
          return Optional.empty();
        }
        found = p;
      }
    }
    return Optional.ofNullable(found);
  }

  /** Finds the workspace that a key's SHA-256 (lower-case hex) stands for. */
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

  /** Returns the priority of a workspace's requests to a service, 0 if no rule names them. */
  public int priority(String workspace, String service) {
    return priorities.getOrDefault(workspace + ' ' + service, 0);
  }

  /**
   * Returns whether a call may run twice.
   *
   * <p>Methods that HTTP defines as idempotent may, others may not, unless a rule says otherwise; a
   * {@code norepeat} rule goes before a {@code repeat} rule.
   */
  public boolean isRepeatable(String service, String method, String path) {
    for (Rule.NoRepeat n : noRepeat) {
      if (matches(n.service(), n.method(), n.pathPrefix(), service, method, path)) {
        return false;
      }
    }
    for (Rule.Repeat r : repeat) {
      if (matches(r.service(), r.method(), r.pathPrefix(), service, method, path)) {
        return true;
      }
    }
    return SAFE_METHODS.contains(method.toUpperCase(Locale.ROOT));
  }

  private Rule.Place resolveDomains(Rule.Place p) {
    Map<String, Integer> resolved = new LinkedHashMap<>();
    p.replicas().forEach((domain, n) -> resolved.merge(resolve(domain), n, Integer::sum));
    return new Rule.Place(resolve(p.model()), p.version(), resolved, p.unavailable());
  }

  private static boolean matches(
      String ruleService, String ruleMethod, String prefix, String service, String m, String path) {
    return FleetNames.withoutFleet(ruleService).equals(FleetNames.withoutFleet(service))
        && (ruleMethod.equals("*") || ruleMethod.equalsIgnoreCase(m))
        && path.startsWith(prefix);
  }

  private void index(Rule rule) {
    if (rule instanceof Rule.Place p) {
      places.add(p);
    } else if (rule instanceof Rule.Alias a) {
      aliases.put(a.alias(), a.name());
    } else if (rule instanceof Rule.Weight w) {
      weights.put(w.workspace(), w.weight());
    } else if (rule instanceof Rule.Limit l) {
      limits.put(l.workspace(), l);
    } else if (rule instanceof Rule.Priority p) {
      priorities.put(p.workspace() + ' ' + p.service(), p.priority());
    } else if (rule instanceof Rule.DomainOut o) {
      domainsOut.add(o.domain());
    } else if (rule instanceof Rule.NoRepeat n) {
      noRepeat.add(n);
    } else if (rule instanceof Rule.Repeat r) {
      repeat.add(r);
    } else if (rule instanceof Rule.Key k) {
      workspaceByKey.put(k.sha256(), k.workspace());
    }
  }
}
