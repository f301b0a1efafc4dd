package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Chooses the entries that an entry reports to, so that the cost does not grow with their number.
 *
 * <p>Most are of the same region: entries of a region that is cut off from the others must still
 * hear of each other. Two of them follow in the order of names, so that each entry receives the
 * reports of some others, which a choice by hashes does not ensure. Some are of other regions, so
 * that reports which are passed on reach all.
 */
public final class ReportRecipients {

  /** Maximum number of recipients. */
  public static final int MAX_RECIPIENTS = 8;

  /** Recipients of the same region, if it has so many, while there are enough in others. */
  private static final int REGION_RECIPIENTS = 5;

  /** Recipients of the same region that follow in the order of names. */
  private static final int SUCCESSORS = 2;

  private ReportRecipients() {}

  /**
   * Returns the names of the recipients, those of the same region first.
   *
   * @param self name of the reporting entry
   * @param region region of the reporting entry
   * @param regionByName regions of all entries, empty if not known
   */
  public static List<String> choose(String self, String region, Map<String, String> regionByName) {
    TreeSet<String> sameRegion = new TreeSet<>();
    List<String> far = new ArrayList<>();
    for (String name : RendezvousHash.order(self, regionByName.keySet())) {
      if (name.equals(self)) {
        continue;
      }
      if (region.equals(regionByName.get(name))) {
        sameRegion.add(name);
      } else {
        far.add(name);
      }
    }
    List<String> near = orderOf(self, sameRegion);
    int nearCount = Math.min(near.size(), Math.max(REGION_RECIPIENTS, MAX_RECIPIENTS - far.size()));
    List<String> chosen = new ArrayList<>(near.subList(0, Math.min(nearCount, MAX_RECIPIENTS)));
    chosen.addAll(far.subList(0, Math.min(far.size(), MAX_RECIPIENTS - chosen.size())));
    return List.copyOf(chosen);
  }

  /** Returns the entries of a region in the order in which they are chosen. */
  private static List<String> orderOf(String self, TreeSet<String> sameRegion) {
    List<String> ring = new ArrayList<>(sameRegion.tailSet(self));
    ring.addAll(sameRegion.headSet(self));
    Set<String> order = new LinkedHashSet<>(ring.subList(0, Math.min(SUCCESSORS, ring.size())));
    order.addAll(RendezvousHash.order(self, sameRegion));
    return List.copyOf(order);
  }
}
