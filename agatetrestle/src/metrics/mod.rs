//! Histograms and counters per partner and class, with the scrape endpoint.
