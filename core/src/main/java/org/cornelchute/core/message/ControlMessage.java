package org.cornelchute.core.message;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.cornelchute.core.model.CrashReport;
import org.cornelchute.core.model.EndpointLimit;
import org.cornelchute.core.model.EndpointSpeed;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.core.model.ServedPart;
import org.cornelchute.core.model.WorkspaceUsage;

/** Messages about membership, rules and load. */
public sealed interface ControlMessage extends Message {

  /** State of a member as seen by another member. */
  enum Health {
    /** The member answers probes, directly or relayed by other members. */
    ALIVE,
    /** The member did not answer a probe; it is declared dead unless it refutes this in time. */
    SUSPECT,
    /** The member did not refute the suspicion in time, or announced that it leaves. */
    DEAD
  }

  /** Identifies the sender of all frames on a connection; always the first frame. */
  record Hello(String from) implements ControlMessage {}

  /** Describes a member and its health; membership updates are spread by gossip. */
  record MembershipUpdate(Member member, Health health) {}

  /** Probes the receiver; carries membership updates and the highest known rules version. */
  record Ping(long sequence, String from, long rulesVersion, List<MembershipUpdate> updates)
      implements ControlMessage {}

  /** Answers a ping; carries membership updates and the highest known rules version. */
  record Ack(long sequence, String from, long rulesVersion, List<MembershipUpdate> updates)
      implements ControlMessage {}

  /** Asks the receiver to probe {@code address} and to relay the answer (indirect probe). */
  record PingRequest(long sequence, String from, String address, List<MembershipUpdate> updates)
      implements ControlMessage {}

  /** Requests all members known to the receiver; sent by a process that has just started. */
  record MembersRequest(Member sender) implements ControlMessage {}

  /** Lists all members known to the sender. */
  record Members(List<MembershipUpdate> updates) implements ControlMessage {}

  /** Requests the rules in force at a peer if their version is above {@code afterVersion}. */
  record RulesRequest(long afterVersion) implements ControlMessage {}

  /** Answers a {@link RulesRequest} with the rules in force and their full text. */
  record RulesText(long version, String digest, String text) implements ControlMessage {}

  /** Requests the version of the rules that is in force at a member. */
  record VersionRequest() implements ControlMessage {}

  /** Reports the version of the rules that is in force at a member. */
  record VersionReport(String member, long version) implements ControlMessage {}

  /** Requests the usage of one entry, by workspace. */
  record UsageRequest() implements ControlMessage {}

  /** Reports the usage of one entry, by workspace. */
  record UsageReport(String member, List<WorkspaceUsage> usages) implements ControlMessage {}

  /**
   * Tells other entries how many calls the sender has in flight at each endpoint.
   *
   * @param configurationAgeMillis time since the store last confirmed the sender's configuration
   * @param openCalls calls by endpoint; the sender has no call at an endpoint that is not listed
   */
  record OpenCallsReport(String from, long configurationAgeMillis, List<OpenCalls> openCalls)
      implements ControlMessage {}

  /**
   * Tells other entries which responses broke off and which parts of prompts were served since, so
   * that all entries find the parts that crash endpoints.
   */
  record CrashEvidenceReport(List<CrashReport> crashes, List<ServedPart> served)
      implements ControlMessage {

    /** Returns whether the report holds no observation. */
    @JsonIgnore
    public boolean isEmpty() {
      return crashes.isEmpty() && served.isEmpty();
    }
  }

  /** Tells other entries which limits of calls endpoints name in their responses. */
  record EndpointLimitsReport(List<EndpointLimit> limits) implements ControlMessage {}

  /**
   * Reports to other entries how fast endpoints work, by the responses to the sender alone;
   * contains only speeds that are not normal or have changed.
   */
  record EndpointSpeedsReport(List<EndpointSpeed> speeds) implements ControlMessage {

    /** A report of no speed. */
    public static final EndpointSpeedsReport EMPTY = new EndpointSpeedsReport(List.of());
  }

  /** Requests the load of an agent's endpoint; sent when an entry connects. */
  record LoadRequest() implements ControlMessage {}

  /** Reports the load of an agent's endpoint to an entry. */
  record LoadReport(String member, Load load) implements ControlMessage {}
}
