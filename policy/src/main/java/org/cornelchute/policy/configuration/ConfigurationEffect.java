package org.cornelchute.policy.configuration;

import org.cornelchute.policy.rules.Rules;

/** What a {@link ConfigurationDecider} asks its duty to do. */
public sealed interface ConfigurationEffect {

  /** Read the head row of the table service. */
  record ReadHead() implements ConfigurationEffect {}

  /** Read one version from the table service. */
  record ReadVersion(long version) implements ConfigurationEffect {}

  /** Ask a peer for the newest version it has above {@code above}. */
  record FetchFromPeer(String address, long aboveVersion) implements ConfigurationEffect {}

  /** Put these rules in force. */
  record Adopt(Rules rules, String text, String digest) implements ConfigurationEffect {}

  /** Report that a version could not be read; the version in force stays. */
  record Reject(long version, String reason) implements ConfigurationEffect {}
}
