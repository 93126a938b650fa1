"""The operators' folder, its merge, its checks and its revisions."""

from curranthill.configuration.checks import checked, fits
from curranthill.configuration.folder import (
    Folder,
    canonical_json,
    digest_of,
    merge,
    read_folder,
)
from curranthill.configuration.holder import ConfigurationHolder
from curranthill.configuration.records import (
    ANYWHERE,
    IN_RACK,
    ON_WORKER,
    Adjacency,
    ConfigurationDocument,
    DataCentre,
    Guarantee,
    Json,
    Kind,
    Lane,
    Manifest,
    Rack,
    Service,
    Shape,
    Workspace,
)
from curranthill.configuration.revisions import RevisionStore

__all__ = (
    'ANYWHERE',
    'IN_RACK',
    'ON_WORKER',
    'Adjacency',
    'ConfigurationDocument',
    'ConfigurationHolder',
    'DataCentre',
    'Folder',
    'Guarantee',
    'Json',
    'Kind',
    'Lane',
    'Manifest',
    'Rack',
    'RevisionStore',
    'Service',
    'Shape',
    'Workspace',
    'canonical_json',
    'checked',
    'digest_of',
    'fits',
    'merge',
    'read_folder',
)
