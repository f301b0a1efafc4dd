package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Decides which regions read from the origin, whose link has capacity for few copies.
 *
 * <p>One region does, the source region: the origin's own if it has an agent that wants the
 * version, or else the first in rendezvous order. Another one reads only if no region before it
 * responds, or as a last resort.
 */
final class OriginAccess {

  private final String region;
  private final String originRegion;
  private final String digest;
  private final long regionTimeoutMillis;

  /** Regions in the order in which they read from the origin; only the first that responds does. */
  private List<String> order;

  /** Whether this region reads from the origin, since no region before it responds. */
  private boolean readsOrigin = true;

  private long lastFailureAt = Long.MIN_VALUE / 2;

  /** Time at which a chunk that this region lacks last became known in another region. */
  private long lastProgressElsewhereAt;

  /**
   * Creates an instance that knows no other region, so that this one reads from the origin.
   *
   * @param digest digest of the manifest, which determines the order of the other regions
   * @param regionTimeoutMillis time without a message after which a region does not respond
   */
  OriginAccess(
      String region, String originRegion, String digest, long regionTimeoutMillis, long now) {
    this.region = region;
    this.originRegion = originRegion;
    this.digest = digest;
    this.regionTimeoutMillis = regionTimeoutMillis;
    this.order = List.of(region);
    this.lastProgressElsewhereAt = now;
  }

  /** Updates the order of the regions to those of the peers and this one. */
  void updateRegions(Collection<Peer> peers) {
    Set<String> regions = new HashSet<>();
    regions.add(region);
    for (Peer peer : peers) {
      regions.add(peer.region);
    }
    List<String> newOrder = new ArrayList<>(RendezvousHash.order(digest, regions));
    if (newOrder.remove(originRegion)) {
      newOrder.add(0, originRegion);
    }
    order = newOrder;
  }

  /**
   * Decides whether this region reads from the origin: it is the first of the order that responds.
   *
   * <p>A region does not respond if none of its agents that got a handshake has replied. A region
   * that got none counts as responding unless no other region responds.
   */
  void update(long now, Collection<Peer> peers) {
    Set<String> responding = new HashSet<>();
    Set<String> silent = new HashSet<>();
    for (Peer peer : peers) {
      if (peer.handshakeDone && now - peer.lastMessageAt < regionTimeoutMillis) {
        responding.add(peer.region);
      } else if (peer.handshakeSentAt > 0 && now - peer.handshakeSentAt >= regionTimeoutMillis) {
        silent.add(peer.region);
      }
    }
    responding.remove(region);
    silent.remove(region);
    silent.removeAll(responding);
    boolean cutOff = responding.isEmpty() && !silent.isEmpty();
    String first = region;
    for (String each : order) {
      if (each.equals(region) || !cutOff && !silent.contains(each)) {
        first = each;
        break;
      }
    }
    readsOrigin = first.equals(region);
  }

  /** Returns the region that reads from the origin while it responds. */
  String sourceRegion() {
    return order.get(0);
  }

  /** Returns whether this region is the source region. */
  boolean isSourceRegion() {
    return region.equals(order.get(0));
  }

  /** Returns whether this region reads from the origin now. */
  boolean readsOrigin() {
    return readsOrigin;
  }

  /**
   * Returns whether an agent may read from the origin though its region does not: one agent after
   * another, once no chunk has become known elsewhere for long.
   *
   * @param position position of the agent in the ranking of importers
   */
  boolean mayReadAsLastResort(long now, int position) {
    return position < (now - lastProgressElsewhereAt) / regionTimeoutMillis;
  }

  /** Records that a chunk that this region lacks became known in another region. */
  void recordProgressElsewhere(long now) {
    lastProgressElsewhereAt = now;
  }

  /** Records that a read of this agent failed. */
  void recordFailure(long now) {
    lastFailureAt = now;
    if (!readsOrigin) {
      lastProgressElsewhereAt = now;
    }
  }

  /** Returns the time of the last failed read of this agent, long ago if there was none. */
  long lastFailureAt() {
    return lastFailureAt;
  }
}
