package org.cornelchute.core.message;

import java.util.List;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.core.model.WorkspaceUsage;

/** Messages about members, rules and load. */
public sealed interface ControlMessage extends Message {

  /** State of a member in somebody's view. */
  enum Health {
    /** Answers probes, directly or through others. */
    ALIVE,
    /** Did not answer; declared dead unless it objects in time. */
    SUSPECT,
    /** Did not object in time, or said goodbye. */
    DEAD
  }

  /** Names the sender of all that follows on a connection; always the first frame. */
  record Hello(String from) implements ControlMessage {}

  /** One rumour about a member. */
  record MembershipUpdate(Member member, Health health) {}

  /** Probes the receiver; carries rumours and the highest rules version the sender knows of. */
  record Ping(long sequence, String from, long rulesVersion, List<MembershipUpdate> updates)
      implements ControlMessage {}

  /** Answers a probe. */
  record Ack(long sequence, String from, long rulesVersion, List<MembershipUpdate> updates)
      implements ControlMessage {}

  /** Asks the receiver to probe {@code address} and to pass the answer on. */
  record PingRequest(long sequence, String from, String address, List<MembershipUpdate> updates)
      implements ControlMessage {}

  /** Asks for all members the receiver knows, sent by a process that has just started. */
  record MembersRequest(Member sender) implements ControlMessage {}

  /** Lists all members the sender knows. */
  record Members(List<MembershipUpdate> updates) implements ControlMessage {}

  /** Asks a peer for the rules above a version. */
  record RulesRequest(long afterVersion) implements ControlMessage {}

  /** Answers with a version of the rules and their full text. */
  record RulesText(long version, String digest, String text) implements ControlMessage {}

  /** Asks a member which version of the rules is in force there. */
  record VersionRequest() implements ControlMessage {}

  /** Tells which version of the rules is in force at a member. */
  record VersionReport(String member, long version) implements ControlMessage {}

  /** Asks an entry what each workspace was given. */
  record UsageRequest() implements ControlMessage {}

  /** Tells what each workspace was given by one entry. */
  record UsageReport(String member, List<WorkspaceUsage> usages) implements ControlMessage {}

  /**
   * Tells other entries what the sender has open; endpoints left out have no call of it.
   *
   * @param configurationAgeMillis how long ago the store last confirmed the sender's configuration
   */
  record OpenCallsReport(String from, long configurationAgeMillis, List<OpenCalls> openCalls)
      implements ControlMessage {}

  /** Asks an agent for its load, sent when an entry connects. */
  record LoadRequest() implements ControlMessage {}

  /** Tells an entry the load of an agent's endpoint. */
  record LoadReport(String member, Load load) implements ControlMessage {}
}
