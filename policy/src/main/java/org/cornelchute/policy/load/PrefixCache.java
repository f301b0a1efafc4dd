package org.cornelchute.policy.load;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prompt prefixes that one incarnation of an engine probably has in its cache, by the calls of this
 * entry that it began.
 */
public final class PrefixCache {

  /** Time without use after which a prefix is assumed to be gone. */
  static final long MAX_UNUSED_MILLIS = 30_000;

  /** Maximum number of prefixes, for engines with very much memory. */
  static final int MAX_PREFIXES = 4_096;

  /** Prefixes by the hash code of their chains, the one whose use is longest ago first. */
  private final Map<Long, Prefix> prefixes = new LinkedHashMap<>();

  private long version;
  private long tokens;

  PrefixCache() {}

  /**
   * Records a prompt whose response has begun.
   *
   * @param weightsVersion version of the weights that the engine holds; nothing that it computed
   *     with others is of use
   * @param capacityTokens memory of the engine in tokens
   */
  public void record(long now, long weightsVersion, PromptPrefix prefix, long capacityTokens) {
    if (weightsVersion != version) {
      prefixes.clear();
      tokens = 0;
      version = weightsVersion;
    }
    // Longer chains first, so that none outlives the shorter one that it extends.
    for (int i = prefix.length() - 1; i >= 0; i--) {
      Long chain = prefix.chains().get(i);
      Prefix before = prefixes.remove(chain);
      tokens -= before == null ? 0 : before.tokens;
      prefixes.put(chain, new Prefix(prefix.tokens().get(i), now));
      tokens += prefix.tokens().get(i);
    }
    evict(now, capacityTokens);
  }

  private void evict(long now, long capacityTokens) {
    Iterator<Prefix> oldest = prefixes.values().iterator();
    while (oldest.hasNext()) {
      Prefix prefix = oldest.next();
      if (!prefix.isExpired(now) && tokens <= capacityTokens && prefixes.size() <= MAX_PREFIXES) {
        return;
      }
      tokens -= prefix.tokens;
      oldest.remove();
    }
  }

  /** Returns the number of leading tokens of a prompt that the engine need not process again. */
  long heldTokens(long now, long weightsVersion, PromptPrefix prefix) {
    if (weightsVersion != version) {
      return 0;
    }
    long held = 0;
    for (int i = 0; i < prefix.length(); i++) {
      Prefix found = prefixes.get(prefix.chains().get(i));
      if (found == null || found.isExpired(now)) {
        return held;
      }
      held += found.tokens;
    }
    return held;
  }

  /** Returns the number of prefixes, also of those whose time is over. */
  int size() {
    return prefixes.size();
  }

  private record Prefix(int tokens, long usedAt) {
    boolean isExpired(long now) {
      return now - usedAt >= MAX_UNUSED_MILLIS;
    }
  }
}
