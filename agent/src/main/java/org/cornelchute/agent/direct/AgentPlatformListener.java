package org.cornelchute.agent.direct;

import java.util.Collection;
import org.cornelchute.core.model.Member;

/** Receives what the platform's table service says; every call comes on the event loop. */
public interface AgentPlatformListener {

  /** Takes the model that engines beside agents serve, and the version that they start with. */
  void onModelConfigured(String model);

  /** Takes a version of weights that operators named. */
  void onVersionAssigned(String model, long version);

  /** Takes all agents, this one included. */
  void onAgentsChanged(Collection<Member> agents);
}
