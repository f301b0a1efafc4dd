package org.cornelchute.net.control;

import java.util.Collection;
import java.util.Set;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.rules.Rules;

/** Learns of members and rules; called on the control duty's thread, must not block. */
public interface ControlListener {

  /** Handles a change of one member. */
  void onMemberChange(Member member, Health health);

  /** Handles new rules in force. */
  void onRulesAdopted(Rules rules);

  /**
   * Handles the view as a whole, after changes and every few seconds.
   *
   * @param members members alive or suspected, this one included
   * @param unreachableRegions regions that cannot be reached
   */
  void onViewRefresh(Collection<Member> members, Set<String> unreachableRegions);
}
