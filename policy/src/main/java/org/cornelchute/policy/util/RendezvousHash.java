package org.cornelchute.policy.util;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous (highest random weight) hashing: all processes order the same members in the same way
 * for a key, and when a member leaves, only the keys that ranked it first move.
 *
 * <p>Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998. The
 * mixing step is the finalizer of SplitMix64.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the members ordered by their weight for a key, highest first. */
  public static List<String> order(String key, Collection<String> members) {
    List<Ranked> ranked = new ArrayList<>(members.size());
    for (String member : members) {
      ranked.add(new Ranked(member, weight(key, member)));
    }
    ranked.sort(
        Comparator.comparingLong((Ranked r) -> r.weight).reversed().thenComparing(Ranked::member));
    return ranked.stream().map(Ranked::member).toList();
  }

  /** Returns the weight of a member for a key, distributed uniformly over all long values. */
  public static long weight(String key, String member) {
    long hash = FNV_OFFSET;
    for (byte b : (key + '\0' + member).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Spreads differences in any bit of a number over all bits, by the finalizer of SplitMix64.
   * Different numbers give different results.
   */
  public static long mix(long number) {
    long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  private record Ranked(String member, long weight) {}
}
