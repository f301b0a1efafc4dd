package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Orders the agents of other regions for the handshakes of an importer.
 *
 * <p>The first ones are the importers of the source region that read the same chunks from the
 * origin, so that a chunk is known to this importer as soon as it has reached the source region.
 * Agents that an importer knows by chance report a chunk only once it has spread to them.
 */
final class RemoteNeighbors {

  private final String digest;
  private final int importers;
  private final ToLongFunction<Peer> pairWeight;

  /**
   * Creates an instance.
   *
   * @param digest digest of the manifest, which determines the ranking of importers
   * @param importers number of importers of each region
   * @param pairWeight order of the other agents
   */
  RemoteNeighbors(String digest, int importers, ToLongFunction<Peer> pairWeight) {
    this.digest = digest;
    this.importers = importers;
    this.pairWeight = pairWeight;
  }

  /**
   * Returns the agents of a region, first the importer that is assigned the same chunks as this
   * agent, then those that replace it.
   *
   * @param position position of this agent in the ranking of its own region, from 0
   */
  List<Peer> counterparts(Collection<Peer> peers, String sourceRegion, int position) {
    Map<String, Peer> byId = new HashMap<>();
    for (Peer peer : peers) {
      if (peer.region.equals(sourceRegion)) {
        byId.put(peer.id, peer);
      }
    }
    List<String> ranking = RendezvousHash.order(digest, byId.keySet());
    List<Peer> ordered = new ArrayList<>();
    int imported = Math.min(importers, ranking.size());
    for (int i = 0; i < ranking.size(); i++) {
      int index = i < imported ? Math.floorMod(position + i, imported) : i;
      ordered.add(byId.get(ranking.get(index)));
    }
    return ordered;
  }

  /** Returns the agents of all other regions, first some counterparts in the source region. */
  List<Peer> order(
      Collection<Peer> peers, String region, String sourceRegion, int position, int counterparts) {
    List<Peer> others = new ArrayList<>();
    for (Peer peer : peers) {
      if (!peer.region.equals(region)) {
        others.add(peer);
      }
    }
    others.sort(Comparator.comparingLong(pairWeight));
    List<Peer> first = counterparts(peers, sourceRegion, position);
    List<Peer> ordered = new ArrayList<>(first.subList(0, Math.min(counterparts, first.size())));
    others.removeAll(ordered);
    ordered.addAll(others);
    return ordered;
  }
}
