package org.cornelchute.policy.configuration;

import org.cornelchute.policy.rules.Rules;

/** Effect that a {@link ConfigurationDecider} returns for its duty to execute. */
public sealed interface ConfigurationEffect {

  /** Read the head row, which holds the newest version, from the table service. */
  record ReadHead() implements ConfigurationEffect {}

  /** Read the text of a version from the table service. */
  record ReadVersion(long version) implements ConfigurationEffect {}

  /** Fetch the newest text above {@code aboveVersion} from a peer. */
  record FetchFromPeer(String address, long aboveVersion) implements ConfigurationEffect {}

  /** Put the rules in force. */
  record Adopt(Rules rules, String text, String digest) implements ConfigurationEffect {}

  /** Report that the text of a version is invalid; the version in force is kept. */
  record Reject(long version, String reason) implements ConfigurationEffect {}
}
