package org.cornelchute.agent.direct;

import java.util.Collection;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.weights.LoadDecider;

/** Receives changes reported by the platform's table service; called on the event loop. */
public interface AgentPlatformListener {

  /** Handles the configured model, which the engines on the agents' VMs serve from version 1. */
  void onModelConfigured(String model);

  /**
   * Handles the assignment of a version of a model's weights by operators. Called again if another
   * age becomes known.
   *
   * @param ageMillis time in milliseconds since the version was first seen; 0 if no entry has
   *     stored that, and {@link LoadDecider#UNKNOWN_AGE_MILLIS} if it could not be read
   */
  void onVersionAssigned(String model, long version, long ageMillis);

  /**
   * Handles a change of the agents.
   *
   * @param agents all agents, this one included
   */
  void onAgentsChanged(Collection<Member> agents);
}
