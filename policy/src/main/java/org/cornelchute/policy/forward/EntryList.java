package org.cornelchute.policy.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * The entries that share the limits of services and endpoints.
 *
 * <p>An entry may take its share only once the others count it. Until it has read its own name in
 * the list, it assumes more entries than usual. A name stays in the list until this process ends,
 * because an entry whose row is missing may still run.
 */
final class EntryList {

  /** Number of entries that is assumed until the list is known. */
  private static final int ASSUMED_COUNT = 64;

  private static final int MAX_CACHED_RANKS = 4_096;

  private final String self;
  private final Map<String, Integer> ranks = new HashMap<>();
  private List<String> names = List.of();

  EntryList(String self) {
    this.self = self;
  }

  /** Adds entries that the store lists or that sent a report. */
  void addAll(Collection<String> found) {
    if (!names.containsAll(found)) {
      Set<String> all = new HashSet<>(names);
      all.addAll(found);
      names = List.copyOf(all);
      ranks.clear();
    }
  }

  /** Returns the names that were found so far. */
  List<String> names() {
    return names;
  }

  /** Returns whether the list was read and contains this entry. */
  boolean isKnown() {
    return names.contains(self);
  }

  /** Returns the number of entries that were found so far, including this one. */
  int foundCount() {
    return isKnown() ? names.size() : names.size() + 1;
  }

  /** Returns the number of entries that limits are divided by. */
  int sharingCount() {
    return isKnown() ? names.size() : Math.max(ASSUMED_COUNT, foundCount());
  }

  /**
   * Returns this entry's share of a number of calls that must not be exceeded; 0 until the entries
   * are known.
   *
   * <p>If there are fewer calls than entries, the entries ranked first for {@code key} get one call
   * each.
   */
  int shareOf(int calls, String key) {
    if (!isKnown()) {
      return 0;
    }
    if (calls >= names.size()) {
      return calls / names.size();
    }
    return rankOf(key) < calls ? 1 : 0;
  }

  /** Returns the position of this entry in the order of all entries for {@code key}, from 0. */
  int rankOf(String key) {
    if (ranks.size() >= MAX_CACHED_RANKS) {
      ranks.clear();
    }
    return ranks.computeIfAbsent(key, k -> RendezvousHash.order(k, names).indexOf(self));
  }
}
