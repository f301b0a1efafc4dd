package org.cornelchute.policy.weights;

import java.util.Collection;
import java.util.List;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Rank of an agent among the agents of its region, which decides the half in which its engine
 * switches versions.
 *
 * <p>The rank follows from the model and the list of agents, in whichever order they become known.
 * Until this agent has read its own row, its rank follows from its name alone, so that agents that
 * cannot read the list still form two halves.
 */
public final class SwitchRank {

  private static final int HALVES = 2;

  private final String self;
  private final String region;
  private String model = "";
  private List<String> idsInRegion = List.of();

  /**
   * Creates a rank without a model and agents.
   *
   * @param self name of this agent
   * @param region region of this agent
   */
  public SwitchRank(String self, String region) {
    this.self = self;
    this.region = region;
  }

  /** Sets the model that the engines serve. */
  public void setModel(String newModel) {
    model = newModel;
  }

  /** Replaces the names of the agents in this region. */
  public void setAgents(Collection<String> newIdsInRegion) {
    idsInRegion = List.copyOf(newIdsInRegion);
  }

  /** Returns the rank, from 0. */
  public int value() {
    if (!idsInRegion.contains(self)) {
      return Math.floorMod(Long.hashCode(RendezvousHash.weight(model, self)), HALVES);
    }
    // With an odd number of agents, one half of a region is larger by one agent. The shift
    // depends on the region so that this is not the same half in every region.
    int shift = Math.floorMod(region.hashCode(), HALVES);
    return RendezvousHash.order(model, idsInRegion).indexOf(self) + shift;
  }
}
