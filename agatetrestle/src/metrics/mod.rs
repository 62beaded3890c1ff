//! Histograms and counters per partner and class, with the scrape endpoint.
//!
//! [`Metrics`] takes in measures by the OpenTelemetry SDK; [`serve`] gives them out in the form that
//! Prometheus scrapes. What each series means and what to do about it: docs/operators/metrics-and-logs.md.

mod instruments;
mod scrape;
mod series;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use snafu::ResultExt;
use snafu::Snafu;

pub use self::scrape::serve;

use crate::metrics::instruments::Instruments;
use crate::metrics::series::SeriesTable;
use crate::ports::Control;
use crate::ports::Freshness;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::ports::Recorder;

/// Why metrics could not be set up or written out.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter could not be registered.
    #[snafu(display("metrics can't be set up: {source}"))]
    SetUp {
        /// What the library said.
        source: OTelSdkError,
    },
    /// The series could not be written in the scrape format.
    #[snafu(display("metrics can't be written: {source}"))]
    Write {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// All measures of this process.
pub struct Metrics {
    registry: Registry,
    instruments: Instruments,
    series: RefCell<SeriesTable>,
    control: RefCell<Option<Rc<dyn Control>>>,
    freshness: RefCell<Option<Rc<dyn Freshness>>>,
    /// Keeps the pipeline alive; the instruments refer to it weakly.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Empty measures.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered, which points at a fault in this build.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context(SetUpSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Instruments::new(&provider.meter("agatetrestle"));
        Ok(Self {
            registry,
            instruments,
            series: RefCell::default(),
            control: RefCell::default(),
            freshness: RefCell::default(),
            _provider: provider,
        })
    }

    /// Lets each scrape tell what is in force and whether new work is taken.
    pub fn observe_control(&self, control: Rc<dyn Control>) {
        self.control.replace(Some(control));
    }

    /// Lets each scrape tell which table of routes is in force and how long ago the leader of control confirmed it.
    pub fn observe_freshness(&self, freshness: Rc<dyn Freshness>) {
        self.freshness.replace(Some(freshness));
    }

    /// All series in the text form that Prometheus scrapes.
    ///
    /// # Errors
    ///
    /// Fails if the encoder refuses a series.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        if let Some(control) = &*self.control.borrow() {
            self.instruments.control(&**control);
        }
        if let Some(freshness) = &*self.freshness.borrow() {
            self.instruments.freshness(&**freshness);
        }
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf).context(WriteSnafu)?;
        Ok(buf)
    }
}

impl Recorder for Metrics {
    fn record(&self, labels: &Labels, measure: &Measurement) {
        let mut series = self.series.borrow_mut();
        self.instruments.record(series.of(labels), measure);
    }

    fn record_cache(&self, held: u64, wasted: u64) {
        self.instruments.record_cache(held, wasted);
    }

    fn record_report(&self, outcome: &'static str, took: Duration) {
        self.instruments.record_report(outcome, took);
    }

    fn record_malformed(&self, entries: u64) {
        self.instruments.record_malformed(entries);
    }
}

#[cfg(test)]
mod tests;
