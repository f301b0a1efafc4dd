package org.cornelchute.policy.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;

/**
 * Follows the accepted versions of the rules and never goes back.
 *
 * <p>Versions are learnt in two ways: by polling the head row at an interval that keeps the whole
 * fleet's reads below {@link #MAX_FLEET_READS_PER_SECOND}, and from peers, whose probes carry the
 * highest version they have. Text is fetched from the peer that told of it, so that a change costs
 * the table service a few reads and not one for each process; after a failure the store is asked.
 */
public final class ConfigurationDecider {

  /** Reads of the head row that all processes together may cause. */
  public static final int MAX_FLEET_READS_PER_SECOND = 200;

  /** Shortest time between two reads of the head row by one process. */
  public static final long MIN_POLL_MILLIS = 1_500;

  /** Time after which a fetch without an answer is given up. */
  public static final long FETCH_TIMEOUT_MILLIS = 1_500;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final SplittableRandom random;
  private Rules rules = Rules.NONE;
  private String text = "";
  private String digest = "";
  private long newestVersion;
  private long nextPollAt;
  private long fetchRetryAt;
  private long fetchVersion;
  private String fetchPeer = "";

  /**
   * Creates a decider that knows no rules.
   *
   * @param seed seed of the jitter
   */
  public ConfigurationDecider(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Returns the rules in force, {@link Rules#NONE} before the first version is known. */
  public Rules rules() {
    return rules;
  }

  /** Returns the text of the rules in force. */
  public String text() {
    return text;
  }

  /** Returns the digest of the text in force. */
  public String digest() {
    return digest;
  }

  /** Polls when it is time to, and repeats fetches that were not answered. */
  public List<ConfigurationEffect> tick(long now, int members) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (now >= nextPollAt) {
      long fleet = members * MILLIS_PER_SECOND / MAX_FLEET_READS_PER_SECOND;
      long interval = Math.max(MIN_POLL_MILLIS, fleet);
      nextPollAt = now + interval / 2 + random.nextLong(interval);
      effects.add(new ConfigurationEffect.ReadHead());
    }
    if (fetchVersion > rules.version() && now >= fetchRetryAt) {
      fetch(now, "", effects);
    }
    return effects;
  }

  /** Learns from a probe which version a peer has. */
  public List<ConfigurationEffect> onPeerVersion(long now, long version, String address) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (version > newestVersion) {
      newestVersion = version;
      fetch(now, address, effects);
    }
    return effects;
  }

  /** Learns the head row's version from the table service; an older one is ignored. */
  public List<ConfigurationEffect> onHeadVersion(long now, long version) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (version > newestVersion) {
      newestVersion = version;
      fetch(now, "", effects);
    }
    return effects;
  }

  /** Handles a fetch that failed: the other source is asked at once, then again after a pause. */
  public List<ConfigurationEffect> onFetchFailure(long now) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (fetchVersion > rules.version() && !fetchPeer.isEmpty()) {
      fetch(now, "", effects);
    }
    return effects;
  }

  /**
   * Takes a version's text from either source.
   *
   * @return an {@link ConfigurationEffect.Adopt} only if the version is above the one in force
   */
  public List<ConfigurationEffect> onRulesText(
      long now, long version, String newText, String newDigest) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (version <= rules.version()) {
      return effects;
    }
    var parsed = RulesParser.parse(version, newText);
    if (parsed.isLeft()) {
      effects.add(new ConfigurationEffect.Reject(version, parsed.getLeft().get(0).toString()));
      return effects;
    }
    rules = parsed.get();
    text = newText;
    digest = newDigest;
    newestVersion = Math.max(newestVersion, version);
    effects.add(new ConfigurationEffect.Adopt(rules, text, digest));
    if (newestVersion > version) {
      fetch(now, "", effects);
    }
    return effects;
  }

  private void fetch(long now, String address, List<ConfigurationEffect> effects) {
    fetchVersion = newestVersion;
    fetchRetryAt = now + FETCH_TIMEOUT_MILLIS / 2 + random.nextLong(FETCH_TIMEOUT_MILLIS);
    fetchPeer = address;
    if (address.isEmpty()) {
      effects.add(new ConfigurationEffect.ReadVersion(newestVersion));
    } else {
      effects.add(new ConfigurationEffect.FetchFromPeer(address, rules.version()));
    }
  }
}
