package org.cornelchute.policy.membership;

import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.model.Member;

/** What a {@link MembershipDecider} asks its duty to do. */
public sealed interface MembershipEffect {

  /** Send a datagram; it may be lost. */
  record SendDatagram(String address, ControlMessage message) implements MembershipEffect {}

  /** Ask the process at an address for all members it knows, over a connection. */
  record RequestMembers(String address) implements MembershipEffect {}

  /** The view of a member has changed. */
  record MemberChanged(Member member, ControlMessage.Health health) implements MembershipEffect {}

  /** A region's members vanished together, or came back. */
  record RegionReachabilityChanged(String region, boolean reachable) implements MembershipEffect {}
}
