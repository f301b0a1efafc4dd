package org.cornelchute.policy.weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.util.Rendezvous;

/**
 * Brings one version's chunks to one agent and hands them on.
 *
 * <p>A few agents of each region, named by rendezvous hashing, read from outside the region, each
 * chunk by one of them; inside the region chunks are exchanged rarest first (Cohen, "Incentives
 * build robustness in BitTorrent", 2003) with a bounded number of neighbours and requests in
 * flight. When the region has seen no new chunk for a while, the next in rank imports in the place
 * of the one that should have.
 */
public final class SwarmDecider {

  private static final int MAX_STRIKES = 3;
  private static final int MAX_SLOW = 4;

  /** Time without a new chunk of an importer after which others help it. */
  private static final long HALTED_MILLIS = 300;

  private static final long DISTRUST_MILLIS = 5_000;

  /** Pause after the first request to an agent that timed out; it doubles with each further one. */
  private static final long SLOW_MILLIS = 250;

  /** Time without an answer to a greeting after which an agent is taken not to run. */
  private static final long UNANSWERED_MILLIS = 500;

  /** Time without a word after which an agent that exchanges chunks is taken to have stopped. */
  private static final long SILENT_MILLIS = 1_000;

  private static final long REFUSED_MILLIS = 30;
  private static final long DOWN_MILLIS = 3_000;
  private static final long GREETING_MILLIS = 2_000;
  private static final double LATENCY_SMOOTHING = 0.1;
  private static final double TIMEOUT_FACTOR = 4.0;
  private static final double ENDGAME_FACTOR = 2.0;
  private static final long MIN_TIMEOUT_MILLIS = 500;
  private static final double NEWS_SMOOTHING = 0.2;
  private static final double TAKEOVER_FACTOR = 4.0;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final String ORIGIN = "";

  private final String self;
  private final String region;
  private final String originRegion;
  private final Manifest manifest;
  private final SwarmOptions options;
  private final Random random;
  private final BitSet have;
  private final BitSet seenInRegion = new BitSet();
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<Integer, List<Request>> requests = new HashMap<>();
  private final Map<Integer, Long> progressed = new HashMap<>();
  private final Deque<Queued> uploads = new ArrayDeque<>();
  private List<String> ranking = List.of();
  private String sourceRegion;
  private boolean uploading;
  private boolean complete;
  private double latency;
  private long lastNews;
  private double newsGap;
  private long nextGreeting;
  private long importPause;
  private long nextRemote;
  private int importing;
  private int asking;

  /**
   * Creates a decider.
   *
   * @param self member id of this agent
   * @param region region it stands in
   * @param originRegion region of the origin
   * @param manifest the version
   * @param held chunks at hand already, from an earlier version
   * @param options limits
   * @param seed seed of the random choices
   * @param now present time
   */
  public SwarmDecider(
      String self,
      String region,
      String originRegion,
      Manifest manifest,
      BitSet held,
      SwarmOptions options,
      long seed,
      long now) {
    this.self = self;
    this.region = region;
    this.originRegion = originRegion;
    this.sourceRegion = region;
    this.manifest = manifest;
    this.options = options;
    this.random = new Random(seed);
    this.have = (BitSet) held.clone();
    this.seenInRegion.or(held);
    this.lastNews = now;
    this.latency = options.timeoutMillis() / TIMEOUT_FACTOR;
  }

  // Accessors

  /** Returns the number of chunks held. */
  public int held() {
    return have.cardinality();
  }

  /** Returns whether every chunk is held. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns how far the exchange has come, for the log; never null. */
  public SwarmProgress progress(long now) {
    int near = 0;
    int greeted = 0;
    int resting = 0;
    int busy = 0;
    for (Peer p : peers.values()) {
      if (p.region.equals(region)) {
        near++;
        greeted += p.greeted ? 1 : 0;
        resting += now < p.avoidUntil ? 1 : 0;
        busy += p.inFlight > 0 ? 1 : 0;
      }
    }
    return new SwarmProgress(
        have.cardinality(),
        manifest.chunks().size(),
        seenInRegion.cardinality(),
        asking,
        importing,
        uploads.size(),
        near,
        greeted,
        resting,
        busy);
  }

  /** Returns the chunks waiting to be sent. */
  public int uploadsWaiting() {
    return uploads.size();
  }

  // Inputs

  /** Takes the agents that want or hold this version, this one excluded. */
  public List<SwarmEffect> members(long now, Collection<Member> wanting) {
    Set<String> present = new HashSet<>();
    for (Member m : wanting) {
      if (m.id().equals(self)) {
        continue;
      }
      present.add(m.id());
      Peer old = peers.get(m.id());
      if (old == null || old.boot != m.boot() || !old.address.equals(m.address())) {
        if (old != null) {
          dropRequests(old.id);
        }
        peers.put(m.id(), new Peer(m.id(), m.address(), m.region(), m.boot()));
      }
    }
    for (String gone : new ArrayList<>(peers.keySet())) {
      if (!present.contains(gone)) {
        dropRequests(gone);
        uploads.removeIf(u -> u.peer.equals(gone));
        peers.remove(gone);
      }
    }
    sourceRegion = findSourceRegion();
    rank(now);
    List<SwarmEffect> effects = new ArrayList<>();
    greet(now, effects);
    pump(now, effects);
    return effects;
  }

  /** Handles a message from another agent about this version. */
  public List<SwarmEffect> received(long now, String from, SwarmMessage message) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer p = peers.get(from);
    if (p == null) {
      return effects;
    }
    heard(now, p);
    if (message instanceof SwarmMessage.Holding m) {
      p.held.clear();
      p.held.or(BitSet.valueOf(m.held()));
      p.held.clear(manifest.chunks().size(), Math.max(manifest.chunks().size(), p.held.length()));
      p.greeted = true;
      noteSeen(now, p, p.held);
      if (m.wantsReply()) {
        sendHolding(effects, p, false);
      }
    } else if (message instanceof SwarmMessage.Have m && m.chunk() < manifest.chunks().size()) {
      p.held.set(m.chunk());
      p.queued = m.queued();
      noteSeen(now, p, p.held);
    } else if (message instanceof SwarmMessage.ChunkRequest m) {
      requested(effects, p, m.chunk());
    } else if (message instanceof SwarmMessage.ChunkRefused m) {
      if (m.lacking()) {
        p.held.clear(m.chunk());
      }
      p.avoidUntil = now + REFUSED_MILLIS;
      closeRequest(m.chunk(), from);
    }
    pump(now, effects);
    return effects;
  }

  /**
   * Takes a chunk.
   *
   * @param from member id of the sender, or empty for the origin
   * @param valid whether the bytes verified against the manifest
   * @return effects; the duty keeps the bytes only if {@code valid}
   */
  public List<SwarmEffect> chunk(long now, String from, int chunk, int queued, boolean valid) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer p = peers.get(from);
    Request r = closeRequest(chunk, from);
    if (p != null) {
      heard(now, p);
      p.queued = queued;
    }
    if (!valid) {
      log(effects, "distrust", chunk, from, "chunk did not verify");
      if (p != null) {
        p.strikes++;
        p.held.clear(chunk);
        p.avoidUntil = now + (p.strikes >= MAX_STRIKES ? DISTRUST_MILLIS * p.strikes : 0);
      }
      pump(now, effects);
      return effects;
    }
    if (r != null && p != null) {
      latency += LATENCY_SMOOTHING * (now - r.since - latency);
      p.strikes = 0;
      p.slow = 0;
    }
    if (!have.get(chunk)) {
      have.set(chunk);
      if (!seenInRegion.get(chunk)) {
        seenInRegion.set(chunk);
        progressed.put(owner(chunk), now);
        noteNews(now);
      }
      for (Peer each : peers.values()) {
        if (each.greeted && !each.held.get(chunk)) {
          send(effects, each, new SwarmMessage.Have(manifest.digest(), chunk, uploads.size()));
        }
      }
    }
    if (have.cardinality() == manifest.chunks().size() && !complete) {
      complete = true;
      effects.add(new SwarmEffect.Complete());
    }
    pump(now, effects);
    return effects;
  }

  /** Handles a read from the origin that failed; others get time to succeed before the next. */
  public List<SwarmEffect> originFailed(long now, int chunk) {
    List<SwarmEffect> effects = new ArrayList<>();
    closeRequest(chunk, ORIGIN);
    importPause = now + options.takeoverMillis() / 2 + random.nextInt(200);
    pump(now, effects);
    return effects;
  }

  /** Handles a chunk that has left over the link. */
  public List<SwarmEffect> uploaded(long now) {
    List<SwarmEffect> effects = new ArrayList<>();
    uploading = false;
    startUpload(effects);
    return effects;
  }

  /** Handles the loss of the connection to an agent. */
  public List<SwarmEffect> peerLost(long now, String id) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer p = peers.get(id);
    if (p != null) {
      uploads.removeIf(u -> u.peer.equals(id));
      lose(now, p);
      rank(now);
    }
    pump(now, effects);
    return effects;
  }

  /** Advances timeouts, greetings and take-over. */
  public List<SwarmEffect> tick(long now) {
    long limit =
        Math.min(
            options.timeoutMillis(),
            Math.max(MIN_TIMEOUT_MILLIS, (long) (latency * TIMEOUT_FACTOR)));
    for (Map.Entry<Integer, List<Request>> e : new ArrayList<>(requests.entrySet())) {
      for (Request r : new ArrayList<>(e.getValue())) {
        long allowed = r.peer.equals(ORIGIN) ? 2 * options.timeoutMillis() : limit;
        if (now - r.since >= allowed) {
          closeRequest(e.getKey(), r.peer);
          rest(now, r.peer);
        }
      }
    }
    for (Peer p : peers.values()) {
      if (p.greeted && p.slow > 0 && now - p.heardAt >= SILENT_MILLIS) {
        lose(now, p);
      }
    }
    if (now - lastNews >= takeoverMillis()) {
      countSeen();
    }
    rank(now);
    List<SwarmEffect> effects = new ArrayList<>();
    greet(now, effects);
    pump(now, effects);
    return effects;
  }

  // Requests

  private void pump(long now, List<SwarmEffect> effects) {
    if (complete) {
      return;
    }
    while (importing < options.importsInFlight() && now >= importPause) {
      if (!startImport(now, effects)) {
        break;
      }
    }
    while (asking < options.inFlight()) {
      if (!ask(now, effects)) {
        break;
      }
    }
  }

  /** Starts the next import that is this agent's turn. */
  private boolean startImport(long now, List<SwarmEffect> effects) {
    int position = ranking.indexOf(self);
    int count = manifest.chunks().size();
    long quiet = now - lastNews;
    int allowedRank = (int) (quiet / takeoverMillis());
    if (position < 0 || position >= options.importers() && allowedRank == 0) {
      return false;
    }
    int first = Math.floorMod(Long.hashCode(Rendezvous.weight(self, manifest.digest())), count);
    for (int n = 0; n < count; n++) {
      int chunk = (first + n) % count;
      if (have.get(chunk) || seenInRegion.get(chunk) || requests.containsKey(chunk)) {
        continue;
      }
      if (rankFor(chunk, position) > allowedRank) {
        continue;
      }
      Peer remote = region.equals(sourceRegion) ? null : findRemoteHolder(now, chunk);
      // Outside the source region the origin is the last resort: its link carries few copies.
      if (remote != null || region.equals(sourceRegion) || allowedRank > 0) {
        begin(now, effects, chunk, remote);
        return true;
      }
    }
    return position < options.importers() && takeOver(now, effects);
  }

  /**
   * Imports a chunk of an importer that is behind, once the own ones are done.
   *
   * <p>One importer on a slow link would otherwise hold up its part for all. What it may have under
   * way already is left to it, and a random one of the rest is taken, so that those who help seldom
   * take the same.
   */
  private boolean takeOver(long now, List<SwarmEffect> effects) {
    Map<Integer, List<Integer>> missing = new TreeMap<>();
    for (int chunk = 0; chunk < manifest.chunks().size(); chunk++) {
      if (!have.get(chunk) && !seenInRegion.get(chunk) && !requests.containsKey(chunk)) {
        missing.computeIfAbsent(owner(chunk), o -> new ArrayList<>()).add(chunk);
      }
    }
    List<Integer> behind = List.of();
    for (Map.Entry<Integer, List<Integer>> e : missing.entrySet()) {
      boolean halted = now - progressed.getOrDefault(e.getKey(), 0L) >= HALTED_MILLIS;
      if (halted && e.getValue().size() > behind.size()) {
        behind = e.getValue();
      }
    }
    if (behind.size() <= options.importsInFlight()) {
      return false;
    }
    int chunk = behind.get(random.nextInt(behind.size()));
    Peer remote = region.equals(sourceRegion) ? null : findRemoteHolder(now, chunk);
    if (remote != null || region.equals(sourceRegion)) {
      begin(now, effects, chunk, remote);
      return true;
    }
    return false;
  }

  /** Returns this agent's place in the order of those that may import a chunk, from 0. */
  private int rankFor(int chunk, int position) {
    return Math.floorMod(position - owner(chunk), ranking.size());
  }

  /** Returns which importer of the region a chunk falls to, from 0. */
  private int owner(int chunk) {
    return chunk % Math.max(1, Math.min(options.importers(), ranking.size()));
  }

  private void begin(long now, List<SwarmEffect> effects, int chunk, Peer remote) {
    if (options.remoteBytesPerSecond() > 0 && !region.equals(sourceRegion)) {
      // Live requests share the link between regions: each importer keeps to its part of the rate.
      int importers = Math.min(options.importers(), ranking.size());
      double millis =
          MILLIS_PER_SECOND * manifest.sizeOf(chunk) * importers / options.remoteBytesPerSecond();
      nextRemote = Math.max(nextRemote, now) + (long) Math.ceil(millis);
      importPause = Math.max(importPause, nextRemote);
    }
    String source = remote == null ? ORIGIN : remote.id;
    requests.computeIfAbsent(chunk, c -> new ArrayList<>(2)).add(new Request(source, now, true));
    importing++;
    if (remote == null) {
      effects.add(new SwarmEffect.FetchOrigin(chunk));
    } else {
      remote.inFlight++;
      send(effects, remote, new SwarmMessage.ChunkRequest(manifest.digest(), chunk));
    }
    log(effects, "import", chunk, remote == null ? "origin" : remote.id, "importer of its region");
  }

  private Peer findRemoteHolder(long now, int chunk) {
    Peer best = null;
    for (Peer p : peers.values()) {
      boolean usable = !p.region.equals(region) && p.held.get(chunk) && now >= p.avoidUntil;
      if (usable && (best == null || p.pressure() < best.pressure())) {
        best = p;
      }
    }
    return best;
  }

  /** Asks a neighbour for the rarest chunk that one of them can send now. */
  private boolean ask(long now, List<SwarmEffect> effects) {
    int count = manifest.chunks().size();
    int rarest = Integer.MAX_VALUE;
    int choice = -1;
    Peer holder = null;
    int ties = 0;
    List<Peer> usable = usableNeighbours(now);
    if (usable.isEmpty()) {
      return false;
    }
    for (int chunk = have.nextClearBit(0); chunk < count; chunk = have.nextClearBit(chunk + 1)) {
      if (requests.containsKey(chunk)) {
        continue;
      }
      int holders = 0;
      Peer least = null;
      for (Peer p : usable) {
        if (p.held.get(chunk)) {
          holders++;
          boolean less = least == null || p.pressure() < least.pressure();
          if (less || p.pressure() == least.pressure() && random.nextInt(holders) == 0) {
            least = p;
          }
        }
      }
      if (least == null || holders > rarest) {
        continue;
      }
      ties = holders < rarest ? 1 : ties + 1;
      if (holders < rarest || random.nextInt(ties) == 0) {
        choice = chunk;
        holder = least;
      }
      rarest = holders;
    }
    if (holder == null) {
      return askAgain(now, usable, effects);
    }
    request(now, effects, holder, choice);
    return true;
  }

  /** Near the end, asks a second holder for a chunk that is long in coming. */
  private boolean askAgain(long now, List<Peer> usable, List<SwarmEffect> effects) {
    for (Map.Entry<Integer, List<Request>> e : requests.entrySet()) {
      Request first = e.getValue().get(0);
      if (e.getValue().size() > 1 || now - first.since < latency * ENDGAME_FACTOR) {
        continue;
      }
      for (Peer p : usable) {
        if (p.held.get(e.getKey()) && !p.id.equals(first.peer)) {
          request(now, effects, p, e.getKey());
          return true;
        }
      }
    }
    return false;
  }

  private void request(long now, List<SwarmEffect> effects, Peer p, int chunk) {
    requests.computeIfAbsent(chunk, c -> new ArrayList<>(2)).add(new Request(p.id, now, false));
    p.inFlight++;
    asking++;
    send(effects, p, new SwarmMessage.ChunkRequest(manifest.digest(), chunk));
  }

  private List<Peer> usableNeighbours(long now) {
    List<Peer> usable = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (p.region.equals(region)
          && p.inFlight < options.perPeer()
          && now >= p.avoidUntil
          && !p.held.isEmpty()) {
        usable.add(p);
      }
    }
    return usable;
  }

  private Request closeRequest(int chunk, String peer) {
    List<Request> open = requests.get(chunk);
    if (open == null) {
      return null;
    }
    Request closed = null;
    Iterator<Request> each = open.iterator();
    while (each.hasNext()) {
      Request r = each.next();
      if (r.peer.equals(peer)) {
        each.remove();
        closed = r;
        break;
      }
    }
    if (open.isEmpty()) {
      requests.remove(chunk);
    }
    if (closed != null) {
      if (closed.imported) {
        importing--;
      } else {
        asking--;
      }
      Peer p = peers.get(peer);
      if (p != null) {
        p.inFlight--;
      }
    }
    return closed;
  }

  private void dropRequests(String peer) {
    for (int chunk : new ArrayList<>(requests.keySet())) {
      closeRequest(chunk, peer);
    }
  }

  /** Leaves an agent alone for a while that did not answer in time: its link may be full. */
  private void rest(long now, String id) {
    Peer p = peers.get(id);
    if (p != null) {
      p.slow = Math.min(MAX_SLOW, p.slow + 1);
      p.avoidUntil = Math.max(p.avoidUntil, now + (SLOW_MILLIS << p.slow - 1));
    }
  }

  // Uploads

  private void requested(List<SwarmEffect> effects, Peer p, int chunk) {
    boolean lacking = chunk < 0 || chunk >= manifest.chunks().size() || !have.get(chunk);
    int ofPeer = 0;
    for (Queued u : uploads) {
      if (u.peer.equals(p.id)) {
        ofPeer++;
      }
    }
    // One peer may hold only its share of the queue, so that a greedy one does not starve others.
    if (lacking || uploads.size() >= options.uploadQueue() || ofPeer >= 2 * options.perPeer()) {
      send(effects, p, new SwarmMessage.ChunkRefused(manifest.digest(), chunk, lacking));
      return;
    }
    uploads.add(new Queued(p.id, p.address, chunk));
    startUpload(effects);
  }

  private void startUpload(List<SwarmEffect> effects) {
    if (uploading || uploads.isEmpty()) {
      return;
    }
    Queued next = uploads.poll();
    uploading = true;
    effects.add(new SwarmEffect.Upload(next.peer, next.address, next.chunk));
  }

  // Neighbours

  /** Returns the one region that reads from the origin: the origin's own if anyone is there. */
  private String findSourceRegion() {
    Set<String> regions = new HashSet<>();
    regions.add(region);
    for (Peer p : peers.values()) {
      regions.add(p.region);
    }
    return regions.contains(originRegion)
        ? originRegion
        : Rendezvous.order(manifest.digest(), regions).get(0);
  }

  /** Forgets what an agent holds that is lost, or that answers no more on an open connection. */
  private void lose(long now, Peer p) {
    dropRequests(p.id);
    p.avoidUntil = now + DOWN_MILLIS;
    p.down = true;
    p.greeted = false;
    p.slow = 0;
    p.held.clear();
    countSeen();
  }

  /** Counts what the region holds at present: the only holder of a chunk may be gone. */
  private void countSeen() {
    seenInRegion.clear();
    seenInRegion.or(have);
    for (Peer p : peers.values()) {
      if (p.region.equals(region)) {
        seenInRegion.or(p.held);
      }
    }
  }

  /** Notes that an agent runs: one that was taken for lost may be asked again at once. */
  private void heard(long now, Peer p) {
    if (p.down) {
      p.down = false;
      p.avoidUntil = now;
    }
    p.askedAt = 0;
    p.heardAt = now;
  }

  /**
   * Orders the region's agents for imports.
   *
   * <p>The list may hold agents that left. One that was lost, that leaves a greeting unanswered or
   * falls silent is passed over until it is heard of: its part would wait for it otherwise. Those
   * that hold everything import nothing.
   */
  private void rank(long now) {
    List<String> present = new ArrayList<>();
    present.add(self);
    for (Peer p : peers.values()) {
      boolean unanswered = p.askedAt > 0 && now - p.askedAt >= UNANSWERED_MILLIS;
      boolean silent = p.greeted && now - p.heardAt >= SILENT_MILLIS;
      boolean full = p.held.cardinality() == manifest.chunks().size();
      if (p.region.equals(region) && !p.down && !unanswered && !silent && !full) {
        present.add(p.id);
      }
    }
    ranking = Rendezvous.order(manifest.digest(), present);
  }

  private void greet(long now, List<SwarmEffect> effects) {
    if (now < nextGreeting) {
      return;
    }
    nextGreeting = now + GREETING_MILLIS;
    List<Peer> near = new ArrayList<>();
    List<Peer> far = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (p.region.equals(region)) {
        near.add(p);
      } else {
        // Any other region will do, so that the one near the origin does not carry all.
        far.add(p);
      }
    }
    // The weight is the same from both sides, so that most neighbours are mutual.
    Comparator<Peer> order = Comparator.comparingLong(p -> weight(p.id));
    near.sort(order);
    far.sort(order);
    greetFirst(now, near, options.neighbours(), effects);
    int position = ranking.indexOf(self);
    if (!region.equals(sourceRegion) && position >= 0 && position < options.importers()) {
      greetFirst(now, far, options.importers(), effects);
    }
  }

  private long weight(String other) {
    return self.compareTo(other) < 0
        ? Rendezvous.weight(self, other)
        : Rendezvous.weight(other, self);
  }

  private void greetFirst(long now, List<Peer> ordered, int count, List<SwarmEffect> effects) {
    for (Peer p : ordered.subList(0, Math.min(count, ordered.size()))) {
      if (!p.greeted) {
        p.askedAt = p.askedAt == 0 ? now : p.askedAt;
        sendHolding(effects, p, true);
      }
    }
  }

  private void sendHolding(List<SwarmEffect> effects, Peer p, boolean wantsReply) {
    send(effects, p, new SwarmMessage.Holding(manifest.digest(), have.toByteArray(), wantsReply));
  }

  private void noteSeen(long now, Peer p, BitSet held) {
    if (!p.region.equals(region)) {
      return;
    }
    boolean news = false;
    for (int c = held.nextSetBit(0); c >= 0; c = held.nextSetBit(c + 1)) {
      if (!seenInRegion.get(c)) {
        seenInRegion.set(c);
        progressed.put(owner(c), now);
        news = true;
      }
    }
    if (news) {
      noteNews(now);
    }
  }

  /** Takes a new chunk in the region as news, and how long it was in coming. */
  private void noteNews(long now) {
    newsGap = newsGap == 0 ? now - lastNews : newsGap + NEWS_SMOOTHING * (now - lastNews - newsGap);
    lastNews = now;
  }

  /** Returns the time without news after which the next in rank imports: long for slow links. */
  private long takeoverMillis() {
    return Math.max(options.takeoverMillis(), (long) (TAKEOVER_FACTOR * newsGap));
  }

  private static void send(List<SwarmEffect> effects, Peer p, SwarmMessage m) {
    effects.add(new SwarmEffect.Send(p.id, p.address, m));
  }

  private void log(
      List<SwarmEffect> effects, String kind, int chunk, String choice, String reason) {
    String subject = manifest.model() + ":" + manifest.version() + "#" + chunk;
    effects.add(new SwarmEffect.Log(new Decision(kind, subject, "", List.of(), choice, reason, 0)));
  }

  private record Request(String peer, long since, boolean imported) {}

  private record Queued(String peer, String address, int chunk) {}
}
