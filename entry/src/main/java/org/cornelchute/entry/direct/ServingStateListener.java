package org.cornelchute.entry.direct;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WeightsSwitch;

/** Receives the serving state from the platform's table service; called on the event loop only. */
public interface ServingStateListener {

  /** Records that no earlier process ran under the name of this entry. */
  void recordFirstStart();

  /** Updates the configuration, unless the known one has the same or a higher version. */
  void updateConfig(ServingConfig config);

  /**
   * Replaces the configuration under any version, because operators wrote it after the store was
   * restored from an older copy.
   */
  void replaceConfig(ServingConfig config);

  /** Updates the failure domains that are out of service. */
  void updateEvacuatedDomains(Set<String> domains);

  /**
   * Records the age of a version of a model's weights that operators published: the time in
   * milliseconds since an entry first saw it, between two bounds.
   */
  void recordVersion(String model, long version, long minAgeMillis, long maxAgeMillis);

  /**
   * Records a version of a model's weights that operators published at an unknown time after the
   * last confirmation. Its age follows by {@link #recordVersion} once it is known.
   */
  void recordVersionOfUnknownAge(String model, long version);

  /**
   * Records that the store confirmed configuration, failure domains and versions.
   *
   * @param askedAt monotonic time in milliseconds at which the confirmation was requested
   */
  void recordConfirmation(long askedAt);

  /** Records that the parts of prompts that were blocked before this process started are read. */
  void awaitBlockedParts();

  /** Records that each of these parts was reported by {@link #recordBlockedPart}. */
  void onBlockedPartsRead();

  /**
   * Records a part of prompts that was blocked before this process started.
   *
   * @param crashCount number of crashes that block the part, 0 if it was cleared
   */
  void recordBlockedPart(long part, int crashCount);

  /** Returns the number of crashes that block a part of prompts now, 0 if it is not blocked. */
  int blockedCrashCount(long part);

  /** Replaces the list of endpoints. */
  void updateEndpoints(Collection<EndpointSpec> endpoints);

  /** Handles that the list of endpoints is readable again after an outage. */
  void onDirectoryRecovered();

  /** Updates the engines that switch to other weights, by host. */
  void updateWeightsSwitches(Map<String, WeightsSwitch> switchByHost);

  /** Replaces the list of entries, by name. */
  void updateEntries(Map<String, EntryAddress> entryByName);
}
