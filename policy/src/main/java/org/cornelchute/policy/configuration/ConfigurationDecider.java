package org.cornelchute.policy.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;

/**
 * Keeps the rules at the newest accepted version and never reverts to an older one.
 *
 * <p>New versions are discovered in two ways: by polling the head row of the table service, and
 * from peers, whose probes carry the highest version they have. The poll interval keeps the reads
 * of the whole fleet below {@link #MAX_FLEET_READS_PER_SECOND}. The text of a version is fetched
 * from the peer that announced it, so that a change costs the table service a few reads instead of
 * one for each process. If that fails, the text is read from the table service.
 */
public final class ConfigurationDecider {

  /** Maximum rate of head row reads by all processes together. */
  public static final int MAX_FLEET_READS_PER_SECOND = 200;

  /** Minimum mean interval between two reads of the head row by one process. */
  public static final long MIN_POLL_MILLIS = 1_500;

  /** Mean time after which an unanswered fetch is retried from the table service. */
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
   * Creates a decider without rules.
   *
   * @param seed seed for the jitter of polls and fetch timeouts
   */
  public ConfigurationDecider(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Returns the rules in force, {@link Rules#NONE} before the first version is adopted. */
  public Rules rules() {
    return rules;
  }

  /** Returns the text of the rules in force, empty before the first version is adopted. */
  public String text() {
    return text;
  }

  /** Returns the digest of the text in force, empty before the first version is adopted. */
  public String digest() {
    return digest;
  }

  /**
   * Polls the head row when a poll is due and retries a fetch that was not answered.
   *
   * @param members number of members, from which the poll interval is computed
   */
  public List<ConfigurationEffect> tick(long now, int members) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (now >= nextPollAt) {
      long fleetInterval = members * MILLIS_PER_SECOND / MAX_FLEET_READS_PER_SECOND;
      long interval = Math.max(MIN_POLL_MILLIS, fleetInterval);
      nextPollAt = now + interval / 2 + random.nextLong(interval);
      effects.add(new ConfigurationEffect.ReadHead());
    }
    if (fetchVersion > rules.version() && now >= fetchRetryAt) {
      fetch(now, "", effects);
    }
    return effects;
  }

  /** Handles the version that a probe from a peer carries. */
  public List<ConfigurationEffect> onPeerVersion(long now, long version, String peerAddress) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (version > newestVersion) {
      newestVersion = version;
      fetch(now, peerAddress, effects);
    }
    return effects;
  }

  /**
   * Handles the version in the head row; a version that is not newer than the one in force is
   * ignored.
   *
   * <p>The row replaces a higher version that it held before, since another program may have
   * written a number to it that is no version.
   */
  public List<ConfigurationEffect> onHeadVersion(long now, long version) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (version > rules.version() && version != newestVersion) {
      newestVersion = version;
      fetch(now, "", effects);
    } else if (version == rules.version()) {
      newestVersion = version;
      fetchVersion = version;
    }
    return effects;
  }

  /**
   * Handles a failed fetch: after a failed fetch from a peer, the table service is read at once;
   * after a failed read of the table service, {@link #tick} retries at the fetch timeout.
   */
  public List<ConfigurationEffect> onFetchFailure(long now) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (fetchVersion > rules.version() && !fetchPeer.isEmpty()) {
      fetch(now, "", effects);
    }
    return effects;
  }

  /**
   * Handles the text of a version from a peer or the table service.
   *
   * @return effects with an {@link ConfigurationEffect.Adopt} only if the version is newer than the
   *     one in force
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

  private void fetch(long now, String peerAddress, List<ConfigurationEffect> effects) {
    fetchVersion = newestVersion;
    fetchRetryAt = now + FETCH_TIMEOUT_MILLIS / 2 + random.nextLong(FETCH_TIMEOUT_MILLIS);
    fetchPeer = peerAddress;
    if (peerAddress.isEmpty()) {
      effects.add(new ConfigurationEffect.ReadVersion(newestVersion));
    } else {
      effects.add(new ConfigurationEffect.FetchFromPeer(peerAddress, rules.version()));
    }
  }
}
