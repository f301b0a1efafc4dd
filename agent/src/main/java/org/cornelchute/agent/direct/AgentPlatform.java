package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.forward.WeightsSwitch;

/** What an agent meets outside; implemented where the platform's formats are known. */
public interface AgentPlatform {

  /** Begins to feed the views, and makes the two ports usable. */
  void start(EventLoop loop, WireClient client, LongSupplier clock, AgentPlatformListener views);

  /** Returns the engine beside the agent. */
  LocalEngine engine();

  /** Returns the origin of weights. */
  WeightsOrigin origin();

  /** Tells the entries how the engine beside changes over. */
  void announce(WeightsSwitch change);
}
