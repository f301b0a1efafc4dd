package org.cornelchute.policy.util;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous (highest random weight) hashing: every process orders the same members the same way
 * for a key, and a member that leaves moves only its own keys.
 *
 * <p>Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998. The
 * mixing step is the finalizer of SplitMix64.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Orders members by their weight for a key, highest first; the result is a new list. */
  public static List<String> order(String key, Collection<String> members) {
    List<Ranked> ranked = new ArrayList<>(members.size());
    for (String m : members) {
      ranked.add(new Ranked(m, weight(key, m)));
    }
    ranked.sort(
        Comparator.comparingLong((Ranked r) -> r.weight).reversed().thenComparing(Ranked::member));
    return ranked.stream().map(Ranked::member).toList();
  }

  /** Returns the weight of a member for a key, uniform over all longs. */
  public static long weight(String key, String member) {
    long h = FNV_OFFSET;
    for (byte b : (key + '\0' + member).getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
    h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
    return h ^ (h >>> 31);
  }

  private record Ranked(String member, long weight) {}
}
