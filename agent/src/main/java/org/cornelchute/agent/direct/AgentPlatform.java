package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.policy.forward.WeightsSwitch;

/** Services outside the process that an agent uses; implemented for a particular platform. */
public interface AgentPlatform {

  /**
   * Starts to pass changes to the listener; {@link #engine()} and {@link #origin()} are available
   * from then on.
   */
  void start(
      EventLoop loop, WireClient client, LongSupplier clockMillis, AgentPlatformListener listener);

  /**
   * Returns how often the store was restored from an older copy while this process ran; called on
   * any thread.
   */
  default long storeEpochChanges() {
    return 0;
  }

  /** Returns the engine on the agent's VM. */
  LocalEngine engine();

  /** Returns the origin of weights. */
  WeightsOrigin origin();

  /** Notifies the entries that the engine on the agent's VM is about to switch or has switched. */
  void announce(WeightsSwitch weightsSwitch);
}
