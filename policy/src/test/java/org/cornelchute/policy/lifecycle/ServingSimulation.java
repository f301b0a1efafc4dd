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
 * Entries, agents, endpoints and the table service joined by connections in virtual time; just
 * enough to drive the deciders. Connections keep order and break; nothing else is lost.
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

  // Faults

  void startEntry(String id) {
    Entry e = new Entry(id);
    e.decider = new RequestDecider(id, "r", RoutingOptions.DEFAULTS, random.nextLong());
    entries.put(id, e);
    execute(e, e.decider.updateRules(now, RULES));
    for (Agent a : agents.values()) {
      execute(e, e.decider.updateMember(now, a.member, Health.ALIVE));
    }
    scheduleTick(e);
  }

  void startAgent(String id) {
    Agent a = new Agent();
    a.member =
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
    a.decider = new AdmissionDecider(id, lastBoot, false, AdmissionOptions.DEFAULTS);
    agents.put(id, a);
    execute(a, a.decider.setRules(now, RULES, false));
    execute(a, a.decider.setServing(now, true, Generation.NONE));
    scheduleTick(a);
    for (Entry e : entries.values()) {
      schedule(
          now + random.nextInt(1_000),
          () -> execute(e, e.decider.updateMember(now, a.member, Health.ALIVE)));
    }
  }

  void crashAgent(String id, boolean noticed) {
    Agent a = agents.remove(id);
    a.crashed = true;
    for (Entry e : entries.values()) {
      breakConnection(e.id, id);
      if (noticed) {
        schedule(now + 5_000, () -> execute(e, e.decider.updateMember(now, a.member, Health.DEAD)));
      }
    }
  }

  void crashEntry(String id) {
    Entry e = entries.remove(id);
    e.crashed = true;
    for (String agent : new ArrayList<>(agents.keySet())) {
      breakConnection(id, agent);
    }
    for (Caller c : callers.values()) {
      c.abandoned |= c.entry == e;
    }
  }

  /** Breaks the connection; what is under way in either direction is lost. */
  void breakConnection(String entry, String agent) {
    Link l = links.remove(entry + ">" + agent);
    if (l == null) {
      return;
    }
    l.open = false;
    Entry e = l.entry;
    schedule(
        now + 1 + random.nextInt(50), () -> execute(e, e.decider.onConnectionLost(now, agent)));
    Agent a = l.agent;
    schedule(
        now + 1 + random.nextInt(50), () -> execute(a, a.decider.onEntryConnectionLost(now, l.id)));
  }

  // Callers

  /** Sends a request; {@code key} may be empty. */
  Caller send(String entry, String id, boolean repeatable, String key) {
    Caller c = new Caller(id, key.isEmpty() ? id : key, entries.get(entry));
    c.repeatable = repeatable;
    callers.put(id, c);
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
            c.work.getBytes(StandardCharsets.UTF_8));
    execute(c.entry, c.entry.decider.onRequest(now, spec));
    return c;
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().at <= millis) {
      Event e = events.poll();
      now = Math.max(now, e.at);
      e.action.run();
    }
    now = millis;
  }

  static String expectedAnswer(String work) {
    return work + "|" + work + "|" + work + "|";
  }

  // Effects

  private void execute(Entry e, List<RoutingEffect> effects) {
    if (e.crashed) {
      return;
    }
    for (RoutingEffect x : effects) {
      if (x instanceof RoutingEffect.Send s) {
        sendToAgent(e, s.agent(), s.message());
      } else if (x instanceof RoutingEffect.AppendResponse p) {
        callers.get(p.request()).answer.append(new String(p.bytes(), StandardCharsets.UTF_8));
      } else if (x instanceof RoutingEffect.CompleteResponse f) {
        callers.get(f.request()).recordOutcome("whole");
      } else if (x instanceof RoutingEffect.AbortResponse c) {
        callers.get(c.request()).recordOutcome("cut");
      } else if (x instanceof RoutingEffect.Refuse r) {
        callers
            .get(r.request())
            .recordOutcome(r.refusal() == Refusal.NOT_RUN ? "not run" : "unknown");
      } else if (x instanceof RoutingEffect.ReadClaim c) {
        readClaim(e, c);
      } else if (x instanceof RoutingEffect.WriteClaim c) {
        writeClaim(e, c);
      }
    }
  }

  private void execute(Agent a, List<AdmissionEffect> effects) {
    if (a.crashed) {
      return;
    }
    for (AdmissionEffect x : effects) {
      if (x instanceof AdmissionEffect.Reply r) {
        sendToEntry(a, r.connection(), r.message());
      } else if (x instanceof AdmissionEffect.Forward f) {
        forward(a, f);
      } else if (x instanceof AdmissionEffect.Abort b) {
        a.aborted.add(b.key().toString());
      }
    }
  }

  private void sendToAgent(Entry e, String agent, Message m) {
    Agent a = agents.get(agent);
    if (a == null) {
      schedule(now + 2, () -> execute(e, e.decider.onSendFailure(now, agent, m)));
      return;
    }
    Link l = links.computeIfAbsent(e.id + ">" + agent, k -> new Link(++lastConnection, e, a));
    a.links.put(l.id, l);
    l.lastDeliveryToAgent = Math.max(l.lastDeliveryToAgent, now + 1 + random.nextInt(30));
    schedule(
        l.lastDeliveryToAgent,
        () -> {
          if (l.open && !a.crashed) {
            deliverToAgent(a, l.id, m);
          }
        });
  }

  private void deliverToAgent(Agent a, long connection, Message m) {
    if (m instanceof ServingMessage.Dispatch d) {
      execute(a, a.decider.onDispatch(now, connection, d));
    } else if (m instanceof ServingMessage.Seal s) {
      execute(a, a.decider.onSeal(now, connection, s));
    } else if (m instanceof ServingMessage.Cancel c) {
      execute(a, a.decider.onCancel(now, c));
    } else {
      execute(a, a.decider.onLoadRequest(connection));
    }
  }

  private void sendToEntry(Agent a, long connection, Message m) {
    Link l = a.links.get(connection);
    if (l == null) {
      return;
    }
    l.lastDeliveryToEntry = Math.max(l.lastDeliveryToEntry, now + 1 + random.nextInt(30));
    String agent = a.member.id();
    schedule(
        l.lastDeliveryToEntry,
        () -> {
          if (l.open && !l.entry.crashed) {
            execute(l.entry, l.entry.decider.onMessage(now, agent, m));
          }
        });
  }

  /** The endpoint runs the request at once; its answer comes in parts and may break off. */
  private void forward(Agent a, AdmissionEffect.Forward f) {
    String work = new String(f.dispatch().body(), StandardCharsets.UTF_8);
    int fate = injectFaults ? random.nextInt(20) : 19;
    if (fate == 0) {
      schedule(now + 1, () -> execute(a, a.decider.onEndpointConnectionRefused(now, f.key())));
      return;
    }
    runsByWork.merge(work, 1, Integer::sum);
    long when = now + 1 + random.nextInt(300);
    schedule(when, () -> execute(a, a.decider.onAnswerHead(now, f.key(), 200, "t", "")));
    int parts = fate == 1 ? random.nextInt(ANSWER_PARTS) : ANSWER_PARTS;
    for (int i = 0; i < parts; i++) {
      byte[] bytes = (work + "|").getBytes(StandardCharsets.UTF_8);
      when += 1 + random.nextInt(100);
      schedule(when, () -> execute(a, a.decider.onAnswerPart(now, f.key(), bytes)));
    }
    boolean whole = parts == ANSWER_PARTS;
    schedule(when + 1, () -> execute(a, a.decider.onAnswerEnd(now, f.key(), whole, 10)));
  }

  private void readClaim(Entry e, RoutingEffect.ReadClaim c) {
    schedule(
        now + 1 + random.nextInt(40),
        () -> {
          Row row = claimRows.get(c.row());
          if (storeUnavailable) {
            execute(e, e.decider.onClaimReadFailure(now, c.request()));
          } else if (row == null) {
            execute(e, e.decider.onClaimRead(now, c.request(), Optional.empty(), 0));
          } else {
            execute(
                e, e.decider.onClaimRead(now, c.request(), Optional.of(row.claim), row.version));
          }
        });
  }

  private void writeClaim(Entry e, RoutingEffect.WriteClaim c) {
    schedule(
        now + 1 + random.nextInt(40),
        () -> {
          Row row = claimRows.get(c.row());
          long version = row == null ? 0 : row.version;
          Either<Failure, Long> result;
          if (storeUnavailable) {
            result = Either.left(Failure.unavailable("out"));
          } else if (version != c.expectedVersion()) {
            result = Either.left(new Failure(Failure.Code.CONFLICT, "conflict"));
          } else {
            claimRows.put(c.row(), new Row(c.claim(), version + 1));
            boolean lost = injectFaults && random.nextInt(5) == 0;
            result = lost ? Either.left(Failure.unknown("lost")) : Either.right(version + 1);
          }
          schedule(
              now + 1 + random.nextInt(40),
              () -> execute(e, e.decider.onClaimWritten(now, c.request(), result)));
        });
  }

  private void scheduleTick(Entry e) {
    schedule(
        now + TICK_MILLIS,
        () -> {
          if (!e.crashed) {
            execute(e, e.decider.tick(now));
            scheduleTick(e);
          }
        });
  }

  private void scheduleTick(Agent a) {
    schedule(
        now + TICK_MILLIS,
        () -> {
          if (!a.crashed) {
            execute(a, a.decider.tick(now));
            scheduleTick(a);
          }
        });
  }

  private void schedule(long when, Runnable action) {
    events.add(new Event(when, eventCount++, action));
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
    final String work;
    final Entry entry;
    final StringBuilder answer = new StringBuilder();
    String outcome = "";
    int outcomeCount;
    boolean repeatable;
    boolean abandoned;

    Caller(String id, String work, Entry entry) {
      this.id = id;
      this.work = work;
      this.entry = entry;
    }

    void recordOutcome(String how) {
      outcome = how;
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

    Link(long number, Entry from, Agent to) {
      this.id = number;
      this.entry = from;
      this.agent = to;
    }
  }

  record Row(Claim claim, long version) {}

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(sequence, o.sequence);
    }
  }
}
