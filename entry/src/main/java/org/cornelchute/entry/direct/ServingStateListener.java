package org.cornelchute.entry.direct;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WeightsSwitch;

/** Receives what the platform's table service says; every call comes on the event loop. */
public interface ServingStateListener {

  /** Age of a version of which nobody kept when it was named. */
  long UNKNOWN_AGE = -1;

  /** Takes the newest configuration. */
  void updateConfig(ServingConfig config);

  /** Takes the failure domains that are out of service. */
  void updateEvacuatedDomains(Set<String> domains);

  /**
   * Takes a version of a model's weights that operators named.
   *
   * @param ageMillis how long ago, or {@link #UNKNOWN_AGE}
   */
  void recordVersion(String model, long version, long ageMillis);

  /** Takes a confirmation of the three above, as of the time of the question. */
  void recordConfirmation(long asked);

  /** Takes the whole list of endpoints. */
  void updateEndpoints(Collection<EndpointSpec> endpoints);

  /** Notes that the list of endpoints can be had again after an outage. */
  void onDirectoryRecovered();

  /** Takes the hosts whose engines change over to other weights, and how. */
  void updateWeightsSwitches(Map<String, WeightsSwitch> changeByHost);

  /** Takes all entries by name, with the address at which each takes datagrams. */
  void updateEntries(Map<String, String> addressByName);
}
