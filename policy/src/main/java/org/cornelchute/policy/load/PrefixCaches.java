package org.cornelchute.policy.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Prompt prefixes that the engines probably have in their caches, by the hash code of the engine's
 * incarnation. Holds only engines that are known to cache prefixes.
 */
public final class PrefixCaches {

  private final Map<Integer, PrefixCache> caches = new HashMap<>();

  /** Returns the cache of an engine that caches prefixes, an empty one if it is new. */
  public PrefixCache of(int incarnation) {
    return caches.computeIfAbsent(incarnation, i -> new PrefixCache());
  }

  /** Drops the cache of an incarnation, if there is one. */
  public void drop(int incarnation) {
    caches.remove(incarnation);
  }

  /** Drops the caches of all other incarnations. */
  public void retain(Set<Integer> incarnations) {
    caches.keySet().retainAll(incarnations);
  }

  /** Returns the number of engines that are known to cache prefixes. */
  public int engineCount() {
    return caches.size();
  }

  /** Returns the number of prefixes of all engines. */
  public int prefixCount() {
    int count = 0;
    for (PrefixCache cache : caches.values()) {
      count += cache.size();
    }
    return count;
  }
}
