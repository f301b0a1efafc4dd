package org.cornelchute.policy.lifecycle;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.admission.AdmissionDecider;
import org.cornelchute.policy.admission.AdmissionEffect;
import org.cornelchute.policy.admission.AdmissionOptions;
import org.cornelchute.policy.routing.Claim;
import org.cornelchute.policy.routing.Refusal;
import org.cornelchute.policy.routing.RequestDecider;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.routing.RoutingEffect;
import org.cornelchute.policy.routing.RoutingOptions;
import org.cornelchute.policy.routing.Target;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;

/**
 * Simulates entries, agents, endpoints and the table service in virtual time, in just enough detail
 * to drive the deciders. Connections deliver messages in order. When one breaks, the messages in
 * flight are lost; no other messages are lost.
 */
final class ServingSimulation {

  static final Target SERVICE = new Target(false, "pedidos");
  private static final int ANSWER_PARTS = 3;
  private static final long TICK_MILLIS = 20;
  private static final Rules RULES = RulesParser.parse(1, "weight a 10 # asked: t\n").get();

  final Random random;
  final Map<String, Entry> entries = new TreeMap<>();
  final Map<String, Agent> agents = new TreeMap<>();
  final Map<String, Caller> callers = new TreeMap<>();
  final Map<String, Integer> runsByWork = new HashMap<>();
  final Map<String, Row> claimRows = new HashMap<>();
  boolean injectFaults = true;
  boolean storeUnavailable;
  long now;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Link> links = new HashMap<>();
  private long eventCount;
  private long lastConnection;
  private long lastBoot;

  ServingSimulation(int entryCount, int agentCount, long seed) {
    this.random = new Random(seed);
    for (int i = 0; i < agentCount; i++) {
      startAgent("agent" + i);
    }
    for (int i = 0; i < entryCount; i++) {
      startEntry("entry" + i);
    }
  }

  // Processes and faults

  void startEntry(String id) {
    Entry entry = new Entry(id);
    entry.decider = new RequestDecider(id, "r", RoutingOptions.DEFAULTS, random.nextLong());
    entries.put(id, entry);
    execute(entry, entry.decider.updateRules(now, RULES));
    for (Agent agent : agents.values()) {
      execute(entry, entry.decider.updateMember(now, agent.member, Health.ALIVE));
    }
    scheduleTick(entry);
  }

  void startAgent(String id) {
    Agent agent = new Agent();
    agent.member =
        new Member(
            id,
            Role.AGENT,
            id,
            "r",
            "d",
            SERVICE.name(),
            ++lastBoot,
            1,
            false,
            Generation.NONE,
            "");
    agent.decider = new AdmissionDecider(id, lastBoot, false, AdmissionOptions.DEFAULTS);
    agents.put(id, agent);
    execute(agent, agent.decider.setRules(now, RULES, false));
    execute(agent, agent.decider.setServing(now, true, Generation.NONE));
    scheduleTick(agent);
    for (Entry entry : entries.values()) {
      schedule(
          now + random.nextInt(1_000),
          () -> execute(entry, entry.decider.updateMember(now, agent.member, Health.ALIVE)));
    }
  }

  void crashAgent(String id, boolean detected) {
    Agent agent = agents.remove(id);
    agent.crashed = true;
    for (Entry entry : entries.values()) {
      breakConnection(entry.id, id);
      if (detected) {
        schedule(
            now + 5_000,
            () -> execute(entry, entry.decider.updateMember(now, agent.member, Health.DEAD)));
      }
    }
  }

  void crashEntry(String id) {
    Entry entry = entries.remove(id);
    entry.crashed = true;
    for (String agentId : new ArrayList<>(agents.keySet())) {
      breakConnection(id, agentId);
    }
    for (Caller caller : callers.values()) {
      if (caller.entry == entry) {
        caller.abandoned = true;
        caller.outcomeCountAtCrash = caller.outcomeCount;
      }
    }
  }

  /** Breaks the connection; messages in flight in either direction are lost. */
  void breakConnection(String entryId, String agentId) {
    Link link = links.remove(entryId + ">" + agentId);
    if (link == null) {
      return;
    }
    link.open = false;
    Entry entry = link.entry;
    schedule(
        now + 1 + random.nextInt(50),
        () -> execute(entry, entry.decider.onConnectionLost(now, agentId)));
    Agent agent = link.agent;
    schedule(
        now + 1 + random.nextInt(50),
        () -> execute(agent, agent.decider.onEntryConnectionLost(now, link.id)));
  }

  // Callers

  /** Sends a request; {@code key} is its idempotency key, or empty. */
  Caller send(String entryId, String id, boolean repeatable, String key) {
    Caller caller = new Caller(id, key.isEmpty() ? id : key, entries.get(entryId));
    caller.repeatable = repeatable;
    callers.put(id, caller);
    RequestSpec spec =
        new RequestSpec(
            id,
            "a",
            SERVICE,
            repeatable,
            false,
            0,
            10,
            10,
            0,
            now + 20_000,
            key,
            key,
            "POST",
            "/x",
            "",
            caller.work.getBytes(StandardCharsets.UTF_8));
    execute(caller.entry, caller.entry.decider.onRequest(now, spec));
    return caller;
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = Math.max(now, event.at);
      event.action.run();
    }
    now = end;
  }

  static String expectedAnswer(String work) {
    return work + "|" + work + "|" + work + "|";
  }

  // Effects

  private void execute(Entry entry, List<RoutingEffect> effects) {
    if (entry.crashed) {
      return;
    }
    for (RoutingEffect effect : effects) {
      if (effect instanceof RoutingEffect.Send send) {
        sendToAgent(entry, send.agent(), send.message());
      } else if (effect instanceof RoutingEffect.AppendResponse append) {
        callers
            .get(append.request())
            .answer
            .append(new String(append.bytes(), StandardCharsets.UTF_8));
      } else if (effect instanceof RoutingEffect.CompleteResponse complete) {
        callers.get(complete.request()).recordOutcome("complete");
      } else if (effect instanceof RoutingEffect.AbortResponse abort) {
        callers.get(abort.request()).recordOutcome("truncated");
      } else if (effect instanceof RoutingEffect.Refuse refuse) {
        callers
            .get(refuse.request())
            .recordOutcome(refuse.refusal() == Refusal.NOT_RUN ? "not run" : "unknown");
      } else if (effect instanceof RoutingEffect.ReadClaim read) {
        readClaim(entry, read);
      } else if (effect instanceof RoutingEffect.WriteClaim write) {
        writeClaim(entry, write);
      }
    }
  }

  private void execute(Agent agent, List<AdmissionEffect> effects) {
    if (agent.crashed) {
      return;
    }
    for (AdmissionEffect effect : effects) {
      if (effect instanceof AdmissionEffect.Reply reply) {
        sendToEntry(agent, reply.connection(), reply.message());
      } else if (effect instanceof AdmissionEffect.Forward forward) {
        forward(agent, forward);
      } else if (effect instanceof AdmissionEffect.Abort abort) {
        agent.aborted.add(abort.key().toString());
      }
    }
  }

  private void sendToAgent(Entry entry, String agentId, Message message) {
    Agent agent = agents.get(agentId);
    if (agent == null) {
      schedule(now + 2, () -> execute(entry, entry.decider.onSendFailure(now, agentId, message)));
      return;
    }
    Link link =
        links.computeIfAbsent(
            entry.id + ">" + agentId, k -> new Link(++lastConnection, entry, agent));
    agent.links.put(link.id, link);
    link.lastDeliveryToAgent = Math.max(link.lastDeliveryToAgent, now + 1 + random.nextInt(30));
    schedule(
        link.lastDeliveryToAgent,
        () -> {
          if (link.open && !agent.crashed) {
            deliverToAgent(agent, link.id, message);
          }
        });
  }

  private void deliverToAgent(Agent agent, long connection, Message message) {
    if (message instanceof ServingMessage.Dispatch dispatch) {
      execute(agent, agent.decider.onDispatch(now, connection, dispatch));
    } else if (message instanceof ServingMessage.Seal seal) {
      execute(agent, agent.decider.onSeal(now, connection, seal));
    } else if (message instanceof ServingMessage.Cancel cancel) {
      execute(agent, agent.decider.onCancel(now, cancel));
    } else {
      execute(agent, agent.decider.onLoadRequest(connection));
    }
  }

  private void sendToEntry(Agent agent, long connection, Message message) {
    Link link = agent.links.get(connection);
    if (link == null) {
      return;
    }
    link.lastDeliveryToEntry = Math.max(link.lastDeliveryToEntry, now + 1 + random.nextInt(30));
    String agentId = agent.member.id();
    schedule(
        link.lastDeliveryToEntry,
        () -> {
          if (link.open && !link.entry.crashed) {
            execute(link.entry, link.entry.decider.onMessage(now, agentId, message));
          }
        });
  }

  /**
   * Runs the request at the endpoint immediately. The endpoint may refuse the connection, or
   * truncate the answer.
   */
  private void forward(Agent agent, AdmissionEffect.Forward forward) {
    String work = new String(forward.dispatch().body(), StandardCharsets.UTF_8);
    int outcome = injectFaults ? random.nextInt(20) : 19;
    if (outcome == 0) {
      schedule(
          now + 1,
          () -> execute(agent, agent.decider.onEndpointConnectionRefused(now, forward.key())));
      return;
    }
    runsByWork.merge(work, 1, Integer::sum);
    long time = now + 1 + random.nextInt(300);
    schedule(
        time, () -> execute(agent, agent.decider.onAnswerHead(now, forward.key(), 200, "t", "")));
    int parts = outcome == 1 ? random.nextInt(ANSWER_PARTS) : ANSWER_PARTS;
    for (int i = 0; i < parts; i++) {
      byte[] bytes = (work + "|").getBytes(StandardCharsets.UTF_8);
      time += 1 + random.nextInt(100);
      schedule(time, () -> execute(agent, agent.decider.onAnswerPart(now, forward.key(), bytes)));
    }
    boolean complete = parts == ANSWER_PARTS;
    schedule(
        time + 1,
        () -> execute(agent, agent.decider.onAnswerEnd(now, forward.key(), complete, 10)));
  }

  private void readClaim(Entry entry, RoutingEffect.ReadClaim read) {
    schedule(
        now + 1 + random.nextInt(40),
        () -> {
          Row row = claimRows.get(read.row());
          if (storeUnavailable) {
            execute(entry, entry.decider.onClaimReadFailure(now, read.request()));
          } else if (row == null) {
            execute(entry, entry.decider.onClaimRead(now, read.request(), Optional.empty(), 0));
          } else {
            execute(
                entry,
                entry.decider.onClaimRead(
                    now, read.request(), Optional.of(row.claim), row.version));
          }
        });
  }

  private void writeClaim(Entry entry, RoutingEffect.WriteClaim write) {
    schedule(
        now + 1 + random.nextInt(40),
        () -> {
          Row row = claimRows.get(write.row());
          long version = row == null ? 0 : row.version;
          Either<Failure, Long> result;
          if (storeUnavailable) {
            result = Either.left(Failure.unavailable("store unavailable"));
          } else if (version != write.expectedVersion()) {
            result = Either.left(new Failure(Failure.Code.CONFLICT, "row version has changed"));
          } else {
            claimRows.put(write.row(), new Row(write.claim(), version + 1));
            boolean answerLost = injectFaults && random.nextInt(5) == 0;
            result =
                answerLost
                    ? Either.left(Failure.unknown("answer lost"))
                    : Either.right(version + 1);
          }
          schedule(
              now + 1 + random.nextInt(40),
              () -> execute(entry, entry.decider.onClaimWritten(now, write.request(), result)));
        });
  }

  private void scheduleTick(Entry entry) {
    schedule(
        now + TICK_MILLIS,
        () -> {
          if (!entry.crashed) {
            execute(entry, entry.decider.tick(now));
            scheduleTick(entry);
          }
        });
  }

  private void scheduleTick(Agent agent) {
    schedule(
        now + TICK_MILLIS,
        () -> {
          if (!agent.crashed) {
            execute(agent, agent.decider.tick(now));
            scheduleTick(agent);
          }
        });
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, eventCount++, action));
  }

  static final class Entry {
    final String id;
    RequestDecider decider;
    boolean crashed;

    Entry(String id) {
      this.id = id;
    }
  }

  static final class Agent {
    final Map<Long, Link> links = new HashMap<>();
    final List<String> aborted = new ArrayList<>();
    Member member;
    AdmissionDecider decider;
    boolean crashed;
  }

  static final class Caller {
    final String id;

    /** Identifies the work; requests with the same idempotency key share it. */
    final String work;

    final Entry entry;
    final StringBuilder answer = new StringBuilder();
    String outcome = "";
    int outcomeCount;
    boolean repeatable;
    boolean abandoned;

    /** Number of outcomes when the entry of the caller crashed. */
    int outcomeCountAtCrash;

    Caller(String id, String work, Entry entry) {
      this.id = id;
      this.work = work;
      this.entry = entry;
    }

    void recordOutcome(String newOutcome) {
      outcome = newOutcome;
      outcomeCount++;
    }
  }

  private static final class Link {
    final long id;
    final Entry entry;
    final Agent agent;
    boolean open = true;
    long lastDeliveryToAgent;
    long lastDeliveryToEntry;

    Link(long id, Entry entry, Agent agent) {
      this.id = id;
      this.entry = entry;
      this.agent = agent;
    }
  }

  record Row(Claim claim, long version) {}

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }
}
