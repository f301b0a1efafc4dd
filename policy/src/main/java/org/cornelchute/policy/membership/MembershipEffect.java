package org.cornelchute.policy.membership;

import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.model.Member;

/** Action that a {@link MembershipDecider} requests from its duty, or a change that it reports. */
public sealed interface MembershipEffect {

  /** Sends a datagram, which may be lost. */
  record SendDatagram(String address, ControlMessage message) implements MembershipEffect {}

  /** Requests all known members from the process at an address, over a connection. */
  record RequestMembers(String address) implements MembershipEffect {}

  /** Reports that a member's record or health has changed. */
  record MemberChanged(Member member, ControlMessage.Health health) implements MembershipEffect {}

  /** Reports that a region has become unreachable, or reachable again. */
  record RegionReachabilityChanged(String region, boolean reachable) implements MembershipEffect {}
}
