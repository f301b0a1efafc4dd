package org.cornelchute.policy.weights;

/** What an agent knows of a load command that it sent. */
public enum LoadResponse {
  /** The engine has accepted the command. */
  ACCEPTED,
  /** The engine has refused the command. */
  REFUSED,
  /** There was no response: the engine may have accepted the command, or may still do so. */
  UNKNOWN
}
