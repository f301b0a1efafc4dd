package org.cornelchute.net.control;

import java.util.Collection;
import java.util.Set;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.rules.Rules;

/**
 * Receives changes of the members and the rules. Called on the thread of the control duty;
 * implementations must not block.
 */
public interface ControlListener {

  /** Called when the record or the health of a member has changed. */
  void onMemberChange(Member member, Health health);

  /** Called when a new version of the rules comes into force. */
  void onRulesAdopted(Rules rules);

  /**
   * Called with a snapshot of all members, after changes and every few seconds without changes.
   *
   * @param members members that are alive or suspected, including this process
   * @param unreachableRegions regions that count as unreachable
   */
  void onViewRefresh(Collection<Member> members, Set<String> unreachableRegions);
}
