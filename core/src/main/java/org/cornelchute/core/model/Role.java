package org.cornelchute.core.model;

/** Kinds of member processes. */
public enum Role {
  /** Entry daemon in front of callers. */
  ENTRY,
  /** Agent beside an endpoint. */
  AGENT
}
