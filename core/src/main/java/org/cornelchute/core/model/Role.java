package org.cornelchute.core.model;

/** Kinds of member processes. */
public enum Role {
  /** Entry daemon, which receives requests from callers. */
  ENTRY,
  /** Agent daemon, which runs next to an endpoint. */
  AGENT
}
