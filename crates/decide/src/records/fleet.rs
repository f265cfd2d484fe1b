//! The servers listed: what is known of each, and sums over those that are ready.

use crate::api::{EndpointEntry, EndpointId, LoadReport, Micros, Mode, Outcome, Presence, Settings};
use rustc_hash::FxHashMap;
use std::mem;

/// A listed server.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) entry: EndpointEntry,
    pub(crate) is_origin: bool,
    pub(crate) weight: f64, // as listed, where that is a lasting size
    pub(crate) warmth: f64, // the part of its work that it can surely do, by the stated warm-up
    pub(crate) part: f64,   // of its weight, by what the instances together make of it
    pub(crate) inflight: u32,
    held: (Micros, Micros), // when that last changed, and its sum over time, since this instance last told
    pub(crate) ended: (u32, u32), // and how many were answered, and how many were not
    pub(crate) answered: bool,
    pub(crate) heard: Micros,       // when it last answered anything
    pub(crate) newest: [Micros; 2], // when those were sent that it answered and that were sent last
    pub(crate) bad: f64,            // smoothed share of attempts that met silence or no connection
    pub(crate) faults: f64,         // and of those that broke or were answered badly
    pub(crate) out_until: Micros,
    pub(crate) out_times: u32,
    pub(crate) full_until: Micros,
    pub(crate) cold_tokens: f64,
    pub(crate) cold_mark: f64,
}

impl Server {
    /// Listed as ready and taken out of use by its faults: one that drains or is gone is out of use anyhow.
    pub(crate) fn out_of_use(&self) -> bool {
        self.out_until > 0 && self.entry.presence == Presence::Ready
    }
    /// Listed as ready, and no origin.
    pub(crate) fn caches(&self) -> bool {
        self.entry.presence == Presence::Ready && !self.is_origin
    }
    /// Books attempts that begin or end there.
    pub(crate) fn board(&mut self, now: Micros, change: i32) {
        let (since, sum) = self.held;
        self.held = (now, sum + now.saturating_sub(since) * Micros::from(self.inflight));
        self.inflight = self.inflight.saturating_add_signed(change);
    }
    /// Counts the end of an attempt, for the other instances. Time-outs show in what it holds.
    pub(crate) fn book_end(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Miss => self.ended.0 += 1,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => self.ended.1 += 1,
            _ => {}
        }
    }
    /// Books any answer to an attempt sent at `sent`.
    pub(crate) fn hear(&mut self, now: Micros, sent: Micros) {
        self.heard = now;
        if sent > self.newest[0] {
            self.newest = [sent, self.newest[0]];
        } else if sent > self.newest[1] {
            self.newest[1] = sent;
        }
    }
}

/// The servers listed, in slots that are used again, and sums over those that are ready.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    index: FxHashMap<EndpointId, u32>,
    pub(crate) origin: Option<u32>,
    pub(crate) generation: u32,
    pub(crate) ready: u32,
    pub(crate) listed: f64, // sum of weights
    pub(crate) ramped: f64, // and of the same cut by warm-up
    pub(crate) next_ramp: Option<Micros>,
    told: Micros, // when the other instances were last told of loads
}

impl Fleet {
    pub(crate) fn all_gone(&mut self) {
        for server in &mut self.servers {
            server.entry.presence = Presence::Gone;
        }
    }

    /// Books one line of the list. A server that restarted keeps nothing but what is still in flight to it.
    pub(crate) fn apply(&mut self, entry: EndpointEntry, cold_tokens: f64, cold_mark: f64) {
        let mut fresh = Server {
            entry,
            is_origin: false,
            weight: 1.0,
            warmth: 1.0,
            part: 1.0,
            inflight: 0,
            held: (0, 0),
            ended: (0, 0),
            answered: entry.online_since == 0,
            heard: 0,
            newest: [0; 2],
            bad: 0.0,
            faults: 0.0,
            out_until: 0,
            out_times: 0,
            full_until: 0,
            cold_tokens,
            cold_mark,
        };
        if let Some(&slot) = self.index.get(&entry.id) {
            let server = &mut self.servers[slot as usize];
            if server.entry.online_since == entry.online_since {
                server.entry = entry;
            } else {
                (fresh.inflight, fresh.held) = (server.inflight, server.held);
                *server = fresh;
            }
            return;
        }
        if entry.presence == Presence::Gone {
            return;
        }
        // Slots of servers that left are used again, so that long days with many deploys stay small.
        let left = |s: &Server| s.entry.presence == Presence::Gone && s.inflight == 0;
        let slot = self.servers.iter().position(left).unwrap_or(self.servers.len());
        if let Some(server) = self.servers.get_mut(slot) {
            self.index.remove(&server.entry.id);
            *server = fresh;
        } else {
            self.servers.push(fresh);
        }
        self.index.insert(entry.id, slot as u32);
    }

    /// Listed as ready, and not out of use; after its time out of use it is on trial with one request.
    pub(crate) fn usable(&self, slot: u32, now: Micros) -> bool {
        let server = &self.servers[slot as usize];
        let trial = now >= server.out_until && server.inflight == 0;
        server.entry.presence == Presence::Ready && (server.out_until == 0 || trial)
    }

    /// What this instance's requests came to at each ready cache server since it was last asked.
    pub(crate) fn take_loads(&mut self, now: Micros) -> Vec<LoadReport> {
        let since = mem::replace(&mut self.told, now);
        let span_us = now.saturating_sub(since).max(1) as f64;
        let load = |server: &mut Server| {
            server.board(now, 0);
            let held = mem::take(&mut server.held.1) as f64 / span_us;
            let (answered, failed) = mem::take(&mut server.ended);
            LoadReport {
                endpoint: server.entry.id,
                weight: server.weight * server.warmth,
                in_flight: held,
                answered,
                failed,
            }
        };
        self.servers.iter_mut().filter(|server| server.caches()).map(load).collect()
    }

    /// Takes in the parts that servers keep of their weights; rows of the table then rank again.
    pub(crate) fn set_parts(&mut self, parts: &[(EndpointId, f64)]) {
        for (id, part) in parts {
            let slot = self.index.get(id).map(|slot| *slot as usize);
            let Some(server) = slot.and_then(|slot| self.servers.get_mut(slot)) else { continue };
            if server.part != *part {
                server.part = *part;
                self.generation += 1;
            }
        }
    }

    /// Brings the weights of warming servers up to date, once it is time.
    pub(crate) fn ramp(&mut self, now: Micros, settings: &Settings) {
        if self.next_ramp.is_some_and(|at| now >= at) {
            self.reweigh(now, settings);
        }
    }

    /// Brings weights and sums up to date; a new generation tells table rows to rank again.
    pub(crate) fn reweigh(&mut self, now: Micros, settings: &Settings) {
        self.generation += 1;
        (self.ready, self.listed, self.ramped, self.origin, self.next_ramp) = (0, 0.0, 0.0, None, None);
        for (slot, server) in (0..).zip(&mut self.servers) {
            let since = server.entry.online_since;
            let age = now.saturating_sub(since);
            let warm = since == 0 || age >= settings.slow_start_us;
            let ramp = age as f64 / settings.slow_start_us as f64;
            server.warmth = if warm {
                1.0
            } else {
                settings.slow_start_fraction + (1.0 - settings.slow_start_fraction) * ramp
            };
            server.weight = if settings.weights_are_lasting { server.entry.weight } else { 1.0 };
            server.is_origin =
                settings.mode == Mode::CacheAside && settings.origin_kind == Some(server.entry.kind);
            if server.entry.presence != Presence::Ready {
                continue;
            }
            if server.is_origin {
                self.origin = self.origin.or(Some(slot));
                continue;
            }
            self.ready += 1;
            self.listed += server.weight;
            self.ramped += server.weight * server.warmth;
            if !warm {
                self.next_ramp = Some(now + settings.slow_start_us / 16);
            }
        }
    }
}
